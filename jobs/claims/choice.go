package claims

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// PoolSize is the number of workers that are witnesses; all workers if there are fewer. It bounds
	// the connections of a coordinator, and spreads the claims over enough witnesses.
	PoolSize = 64
	// perJob is the number of witnesses of one job.
	perJob = 3
)

// Worker is a worker that may be a witness.
type Worker struct {
	Address    string
	DataCentre string
	Gone       bool // there has been no connection to it for GoneAfter
}

// Pool returns the workers that are witnesses: the PoolSize first by the hashes of their addresses.
// Workers that are gone are among them, so that they are found when they are back, but don't count.
func Pool(workers []Worker) []Worker {
	type hashed struct {
		hash uint64
		w    Worker
	}
	all := make([]hashed, len(workers))
	for i, w := range workers {
		all[i] = hashed{xxhash.Sum64String(w.Address), w}
	}
	slices.SortFunc(all, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.w.Address, b.w.Address))
	})
	var pool []Worker
	counted := 0
	for _, h := range all {
		if counted == PoolSize {
			break
		}
		pool = append(pool, h.w)
		if !h.w.Gone {
			counted++
		}
	}
	return pool
}

// choose returns the witnesses of a job among the candidates: those with the highest hashes of job and
// address, from as many data centres as possible, so that the loss of a data centre takes few of them.
func choose(job uint64, candidates []*witness) []*witness {
	var chosen []*witness
	for len(chosen) < min(perJob, len(candidates)) {
		var best *witness
		for _, w := range candidates {
			if !slices.Contains(chosen, w) && (best == nil || w.precedes(best, job, chosen)) {
				best = w
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}

// precedes returns whether w is chosen before o as the next witness of the job after those in chosen.
func (w *witness) precedes(o *witness, job uint64, chosen []*witness) bool {
	if mine, others := w.sharesDataCentre(chosen), o.sharesDataCentre(chosen); mine != others {
		return others
	}
	if a, b := mix(w.hash^job), mix(o.hash^job); a != b {
		return a > b
	}
	return w.address < o.address
}

func (w *witness) sharesDataCentre(chosen []*witness) bool {
	return slices.ContainsFunc(chosen, func(c *witness) bool { return c.dataCentre == w.dataCentre })
}

// mix returns a hash of x: the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
