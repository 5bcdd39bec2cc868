package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// stamp returns the present time by this process's steady clock, in
// microseconds since it began; never 0. Coordinators echo it in heartbeats.
func (t *Table) stamp(now time.Time) int64 {
	return max(1, now.Sub(t.began).Microseconds())
}

// touch makes the coordinator get a status with the next Effects.
func (t *Table) touch(name string, o *owner) {
	if !o.dirty {
		o.dirty = true
		t.dirty = append(t.dirty, name)
	}
}

// touchOwners makes every coordinator get a status with the next Effects.
func (t *Table) touchOwners() {
	for name, o := range t.owners {
		t.touch(name, o)
	}
}

// sendStatuses sends a status to the owners who want one.
func (t *Table) sendStatuses(now time.Time) {
	if len(t.dirty) == 0 {
		return
	}
	slices.Sort(t.dirty)
	slowness := inPercent(t.slownessNow(now))
	for _, name := range t.dirty {
		o := t.owners[name]
		if o == nil || !o.dirty {
			continue // its connection is lost, or it is another one
		}
		o.dirty = false
		s := t.status(now, name, o, slowness)
		t.room.StatusSent(now, name, s.Stamp)
		t.send(name, s)
	}
	t.dirty = t.dirty[:0]
}

func (t *Table) status(now time.Time, name string, o *owner, slowness uint32) *wire.WorkerStatus {
	s := &wire.WorkerStatus{
		TimeFactor:   inPercent(t.outcomes.speed.TimeFactor()),
		Slowness:     slowness,
		Failing:      inPercent(t.outcomes.failing),
		Stamp:        t.stamp(now),
		HeartbeatSeq: o.heartbeatSeq,
		StartSeq:     o.startSeq,
		Ready:        t.canStart(),
		Free:         t.room.Available(name, t.free()),
		Waiting:      t.room.WaitingElsewhere(now, name),
		Fenced:       o.fenced,
	}
	o.fenced = nil
	if !o.identified {
		o.identified = true
		s.Identity = t.identity.message()
	}
	return s
}
