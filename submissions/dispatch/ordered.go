package dispatch

import "slices"

// sortedKeys returns, in ascending order, the keys of the values for which
// wanted returns true. Unlike the iteration order of a map, this order makes a
// run with a given seed repeatable.
func sortedKeys[V any](m map[uint64]V, wanted func(V) bool) []uint64 {
	var keys []uint64
	for k, v := range m {
		if wanted(v) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
