package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

func (t *Table) stamp(now time.Time) int64 {
	return max(1, now.Sub(t.epoch).Microseconds())
}

func (t *Table) touchAll() {
	for _, o := range t.owners {
		o.dirty = true
	}
}

// tellStatus sends a status to the owners who want one.
func (t *Table) tellStatus(now time.Time) {
	for _, name := range ordered.Keys(t.owners) {
		o := t.owners[name]
		if !o.dirty {
			continue
		}
		o.dirty = false
		t.send(name, t.status(now, o))
	}
}

func (t *Table) status(now time.Time, o *owner) *wire.WorkerStatus {
	s := &wire.WorkerStatus{
		Stamp:        t.stamp(now),
		HeartbeatSeq: o.heartbeatSeq,
		StartSeq:     o.startSeq,
		Ready:        t.canStart(),
		Free:         t.free(),
		Waiting:      uint32(len(t.waiting)),
		Fenced:       o.fenced,
	}
	o.fenced = nil
	if !o.identified {
		o.identified = true
		s.Identity = t.identity.told()
	}
	return s
}
