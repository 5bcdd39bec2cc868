package promises

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// endEarlierTerms asks the coordinators that can be reached to end their terms of partitions that the
// node owns now, and repeats that at each tick until they have answered. It follows earlierterms.go of
// package coordinator.
func (n *coordinatorNode) endEarlierTerms() {
	for _, p := range ordered.Keys(n.earlier) {
		for _, term := range slices.Clone(n.earlier[p]) {
			if term.Address == n.name {
				n.earlierTermEnded(p, term)
			} else if o := n.w.coordinatorAt(term.Address); o != nil {
				n.askToEnd(o, p, term)
			}
		}
	}
}

// askToEnd asks another coordinator to end its term, and records its answer.
func (n *coordinatorNode) askToEnd(o *coordinatorNode, p uint32, term durable.Term) {
	if !o.alive || !n.w.reaches(n.name, o.name) || !n.w.reaches(o.name, n.name) {
		return
	}
	asked, asking := o.incarnation, n.incarnation
	n.w.after(time.Millisecond, func() {
		o.post(asked, func() {
			o.endTerm(ownership.Term{Partition: p, Epoch: term.Epoch})
			n.w.after(time.Millisecond, func() { n.post(asking, func() { n.earlierTermEnded(p, term) }) })
		})
	})
}

// endTerm ends a term that another coordinator knows to be superseded.
func (n *coordinatorNode) endTerm(id ownership.Term) {
	n.owned.Lost(id)
	if n.epochs[id.Partition] == id.Epoch || n.loading[id.Partition].epoch == id.Epoch {
		n.release(id.Partition)
	}
}

func (n *coordinatorNode) earlierTermEnded(p uint32, term durable.Term) {
	n.core.EarlierTermEnded(n.now(), p, term.Epoch)
	n.earlier[p] = slices.DeleteFunc(n.earlier[p], func(t durable.Term) bool { return t == term })
}

// coordinatorAt returns the coordinator of that name.
func (w *world) coordinatorAt(name string) *coordinatorNode {
	for _, n := range w.coordinators {
		if n.name == name {
			return n
		}
	}
	return nil
}
