package routing

import "slices"

// Evacuations lists the data centres in which operators allow no task to start, as of one position
// in their records. Tasks that already run there continue to their end.
type Evacuations struct {
	// Offset is how far the operators' records had been read; 0 is before the first. The store
	// assigns offsets in the order of the operators' writes, so the value with the higher offset
	// is the newer one, whichever process read it.
	Offset      uint64
	DataCentres []string // sorted
}

// Has returns whether the data centre is evacuated.
func (e Evacuations) Has(dataCentre string) bool {
	_, found := slices.BinarySearch(e.DataCentres, dataCentre)
	return found
}

// SameDataCentres returns whether e and o list the same data centres; their offsets may differ.
func (e Evacuations) SameDataCentres(o Evacuations) bool {
	return slices.Equal(e.DataCentres, o.DataCentres)
}

// OperatorUpdate is the result of one reading of the operators' records.
type OperatorUpdate struct {
	Configuration *Configuration // nil where the reading brought none
	Evacuations   Evacuations    // those in force
}
