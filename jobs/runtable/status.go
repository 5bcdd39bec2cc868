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

// queueStatus makes the coordinator get a status with the next Effects.
func (t *Table) queueStatus(name string, o *owner) {
	if !o.dirty {
		o.dirty = true
		t.dirty = append(t.dirty, name)
	}
}

// queueStatuses makes every coordinator get a status with the next Effects.
func (t *Table) queueStatuses() {
	for name, o := range t.owners {
		t.queueStatus(name, o)
	}
}

// sendStatuses sends a status to the owners who want one.
func (t *Table) sendStatuses(now time.Time) {
	if len(t.dirty) == 0 {
		return
	}
	slices.Sort(t.dirty)
	slowness := percent(t.slowness(now))
	for _, name := range t.dirty {
		o := t.owners[name]
		if o == nil || !o.dirty {
			continue // its connection is lost, or it is another one
		}
		o.dirty = false
		s := t.status(now, name, o, slowness)
		t.room.Told(now, name, s.Stamp)
		t.send(name, s)
	}
	t.dirty = t.dirty[:0]
}

func (t *Table) status(now time.Time, name string, o *owner, slowness uint32) *wire.WorkerStatus {
	s := &wire.WorkerStatus{
		TimeFactor:   percent(t.outcomes.speed.Factor()),
		Slowness:     slowness,
		Failing:      percent(t.outcomes.failing),
		Stamp:        t.stamp(now),
		HeartbeatSeq: o.heartbeatSeq,
		StartSeq:     o.startSeq,
		Ready:        t.canStart(),
		Free:         t.room.Free(name, t.free()),
		Waiting:      t.room.Waiting(now, name),
		Fenced:       o.fenced,
	}
	o.fenced = nil
	if !o.identitySent {
		o.identitySent = true
		s.Identity = t.identity.message()
	}
	return s
}
