package dispatch

import "slices"

// matching returns, in rising order, the keys of the values wanted. Acting in
// that order makes a run repeatable, which walking a map is not.
func matching[V any](m map[uint64]V, wanted func(V) bool) []uint64 {
	var keys []uint64
	for k, v := range m {
		if wanted(v) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
