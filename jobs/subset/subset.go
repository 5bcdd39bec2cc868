// Package subset is the core that decides which workers a coordinator keeps
// connections to. It owns nothing: the choice follows from the addresses alone,
// so that all coordinators divide the workers alike without asking each other.
// It does no I/O.
package subset

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Worker is a worker that a coordinator may keep a connection to.
type Worker struct {
	Address     string
	Service     string // of its backend server; empty while it is not known
	Unreachable bool   // it cannot be reached at present
	// Evacuated workers take no tasks, and keep their connections: their coordinators tell
	// them when they may again.
	Evacuated bool
}

// Settings bound how many workers one coordinator keeps connections to.
type Settings struct {
	Size     int // workers of each service, at most; all of them where there are no more
	Coverage int // coordinators that each worker should have at least
}

// MinSize is how many workers of a service a coordinator keeps connections to, however little it
// asks of them: two of the widest jobs begin there at once.
const MinSize = 12

// Demand is how many workers of each service the coordinator's own demand asks for. One
// that is not named is asked for as far as Settings.Size goes.
type Demand map[string]int

// Choose returns the addresses of the workers that one of the coordinators, self,
// keeps connections to, and of each whether it is to be preferred. The
// workers of a service form a ring in the order of the hashes of their
// addresses; the coordinators divide it evenly, and each takes the workers from
// its place on. Those up to the next coordinator's place are preferred. Lost and evacuated ones
// are taken beside those that count. So the connections of one process do not
// grow with all processes, and no worker is left out as long as the coordinators
// know of each other.
func Choose(cfg Settings, self string, coordinators []string, workers []Worker, wanted Demand) (chosen map[string]bool) {
	place, count := placeOf(self, coordinators)
	chosen = make(map[string]bool)
	for service, ring := range rings(workers) {
		start := place * len(ring) / count
		preferred := (place+1)*len(ring)/count - start
		left := cfg.sizeFor(len(ring), count, wanted.of(service))
		for i := 0; i < len(ring) && left > 0; i++ {
			w := ring[(start+i)%len(ring)]
			chosen[w.Address] = i < preferred
			if !w.Unreachable && !w.Evacuated {
				left--
			}
		}
	}
	return chosen
}

// Sharers returns how many of so many coordinators keep a connection to one of so many
// workers of the service, on the average, if they all want as many.
func (s Settings) Sharers(service string, workers, coordinators int, wanted Demand) float64 {
	if workers == 0 {
		return float64(coordinators)
	}
	size := min(workers, s.sizeFor(workers, coordinators, wanted.of(service)))
	return float64(coordinators) * float64(size) / float64(workers)
}

// sizeFor returns how many workers of a service a coordinator takes that wants so many.
func (s Settings) sizeFor(workers, coordinators, wanted int) int {
	covering := math.Ceil(float64(s.Coverage) * float64(workers) / float64(coordinators))
	return max(min(s.Size, max(MinSize, wanted)), int(covering))
}

func (w Demand) of(service string) int {
	n, named := w[service]
	if !named {
		return math.MaxInt
	}
	return n
}

// placeOf returns the place of self among the coordinators, and their number
// with it.
func placeOf(self string, coordinators []string) (place, count int) {
	all := slices.Clone(coordinators)
	if !slices.Contains(all, self) {
		all = append(all, self)
	}
	place = 0
	for _, other := range all {
		if compareHashes(other, self) < 0 {
			place++
		}
	}
	return place, len(all)
}

// rings returns the workers of each service in the order of their ring.
func rings(workers []Worker) map[string][]Worker {
	byService := make(map[string][]Worker)
	for _, w := range workers {
		byService[w.Service] = append(byService[w.Service], w)
	}
	for _, ring := range byService {
		sortByHash(ring)
	}
	return byService
}

// sortByHash sorts workers by the hashes of their addresses, each of which is made once: the
// choice is made anew each second and at each news, and with 800 workers takes 0.35 ms so, 0.45
// with two hashes for each comparison (BenchmarkChoose).
func sortByHash(ring []Worker) {
	type hashed struct {
		hash uint64
		w    Worker
	}
	all := make([]hashed, len(ring))
	for i, w := range ring {
		all[i] = hashed{xxhash.Sum64String(w.Address), w}
	}
	slices.SortFunc(all, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.w.Address, b.w.Address))
	})
	for i := range all {
		ring[i] = all[i].w
	}
}

func compareHashes(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}
