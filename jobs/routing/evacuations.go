package routing

import "slices"

// Evacuations are the data centres in which operators want no task started, as they stood
// at one moment. What runs there is left to end.
type Evacuations struct {
	// Offset says how far the operators' records had been read; 0 is before any. The store
	// gives offsets in the order of the operators' writes, so of two readings that with the
	// higher one is newer, whichever process read it.
	Offset      uint64
	DataCentres []string // sorted
}

// Has returns whether the data centre is evacuated.
func (e Evacuations) Has(dataCentre string) bool {
	_, found := slices.BinarySearch(e.DataCentres, dataCentre)
	return found
}

// SameDataCentres returns whether the two name the same data centres.
func (e Evacuations) SameDataCentres(o Evacuations) bool {
	return slices.Equal(e.DataCentres, o.DataCentres)
}

// OperatorUpdate is what a reading of the operators' records has brought.
type OperatorUpdate struct {
	Configuration *Configuration // nil where it has brought none
	Evacuations   Evacuations    // those that stand
}
