package subset

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// Need is what waiting tasks need of a worker. Tasks of the same need are alike.
type Need struct {
	Service   string
	Label     string            // of the backend server; empty if any server will do
	Resources durable.Resources // of one task
}

// metBy returns whether the worker can run a task of the need once it has free capacity.
func (n *Need) metBy(w *Worker) bool {
	return w.Service == n.Service && n.Resources.Fits(w.Capacity) && (n.Label == "" || slices.Contains(w.Labels, n.Label))
}

const (
	// MaxWidened is the number of workers that Widening adds to a choice at most.
	MaxWidened = 48
	// maxPerNeed is the number of them that are added for one need. Where half of the workers that can
	// meet it have free capacity, it is all but certain that one of so many has.
	maxPerNeed = 16
	// keepWidened is how long an added worker stays in the choice after the last run that was ordered there,
	// so that connections are not closed and opened again for each job of a rare kind.
	keepWidened = 10 * time.Second
)

// Widening adds workers to the choice of one coordinator that can start what no chosen worker can, by what
// they have registered. The zero value has added none.
type Widening struct {
	added []string // addresses
	turn  int      // rises with each choice for unmet needs
}

// Apply adds workers to the choice for the unmet needs: to each one after the other in turn with the other
// needs, up to maxPerNeed each. If the needs are still unmet at the next choice, they get others, if there
// are more. Workers at which a run was ordered a short time ago stay. orderedAt returns when that was. It
// returns the number of workers that were not in the choice before.
func (d *Widening) Apply(now time.Time, self string, workers []Worker, chosen map[string]bool, needs []Need, orderedAt func(address string) time.Time) (fresh int) {
	before := d.added
	d.added = nil
	if len(needs) > 0 {
		d.turn++
		d.added = d.widen(self, workers, chosen, needs)
	}
	for _, address := range before {
		_, is := chosen[address]
		if !is && len(d.added) < MaxWidened && now.Sub(orderedAt(address)) < keepWidened && !slices.Contains(d.added, address) {
			d.added = append(d.added, address)
		}
	}
	for _, address := range d.added {
		chosen[address] = false
		if !slices.Contains(before, address) {
			fresh++
		}
	}
	return fresh
}

// Len returns how many workers are added.
func (d *Widening) Len() int { return len(d.added) }

// widen returns the workers for the needs, MaxWidened at most.
func (d *Widening) widen(self string, workers []Worker, chosen map[string]bool, needs []Need) []string {
	able := make([][]Worker, len(needs))
	for i := range needs {
		able[i] = d.ableBeyond(self, workers, chosen, &needs[i])
	}
	taken := make(map[string]bool)
	for k := range maxPerNeed {
		for i := range needs {
			at := (i + d.turn) % len(needs)
			if k < len(able[at]) && len(taken) < MaxWidened {
				taken[able[at][k].Address] = true
			}
		}
	}
	return ordered.Keys(taken)
}

// ableBeyond returns the workers that are not chosen and can meet the need, in the order of the ring. They
// begin at a position that differs between coordinators and moves on with each turn.
func (d *Widening) ableBeyond(self string, workers []Worker, chosen map[string]bool, n *Need) []Worker {
	var ring []Worker
	for i := range workers {
		w := &workers[i]
		if _, is := chosen[w.Address]; !is && !w.Unreachable && !w.Evacuated && n.metBy(w) {
			ring = append(ring, *w)
		}
	}
	if len(ring) == 0 {
		return nil
	}
	sortByHash(ring)
	start := (xxhash.Sum64String(self) + uint64(d.turn)*maxPerNeed) % uint64(len(ring))
	return slices.Concat(ring[start:], ring[:start])
}
