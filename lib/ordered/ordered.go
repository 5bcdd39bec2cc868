// Package ordered iterates over maps in the order of their keys, so that the cores make the same
// decisions for the same inputs. It holds no state. Each call sorts the keys, so it suits maps of up
// to a few thousand entries.
package ordered

import (
	"cmp"
	"maps"
	"slices"
)

// Keys returns the keys of the map in ascending order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// KeysFunc returns the keys of the map in the order of compare.
func KeysFunc[K comparable, V any](m map[K]V, compare func(a, b K) int) []K {
	return slices.SortedFunc(maps.Keys(m), compare)
}

// Values returns the values of the map in ascending order of their keys.
func Values[K cmp.Ordered, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range Keys(m) {
		out = append(out, m[k])
	}
	return out
}
