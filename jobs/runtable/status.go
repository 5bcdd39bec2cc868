package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// stamp returns the present time by this process's steady clock, in
// microseconds since it began; never 0. Coordinators echo it in heartbeats.
func (t *Table) stamp(now time.Time) int64 {
	return max(1, now.Sub(t.began).Microseconds())
}

// touchOwners makes every coordinator get a status with the next Effects.
func (t *Table) touchOwners() {
	for _, o := range t.owners {
		o.dirty = true
	}
}

// sendStatuses sends a status to the owners who want one.
func (t *Table) sendStatuses(now time.Time) {
	var lately *outcomes // worked out once, if anybody gets a status
	for _, name := range ordered.Keys(t.owners) {
		o := t.owners[name]
		if !o.dirty {
			continue
		}
		if lately == nil {
			present := t.outcomesNow(now)
			lately = &present
		}
		o.dirty = false
		t.send(name, t.status(now, o, lately))
	}
}

func (t *Table) status(now time.Time, o *owner, lately *outcomes) *wire.WorkerStatus {
	const percent = 100
	s := &wire.WorkerStatus{
		Slowness:     uint32(percent * lately.slowness),
		Failing:      uint32(percent * lately.failing),
		Stamp:        t.stamp(now),
		HeartbeatSeq: o.heartbeatSeq,
		StartSeq:     o.startSeq,
		Ready:        t.canStart(),
		Free:         t.free(),
		Fenced:       o.fenced,
	}
	o.fenced = nil
	if !o.identified {
		o.identified = true
		s.Identity = t.identity.message()
	}
	return s
}
