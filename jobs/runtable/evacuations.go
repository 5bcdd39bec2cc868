package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/wire"
)

// evacStaleAfter is how old the coordinators' newest reading of the evacuations may be before
// the worker reads the operators' records itself. Coordinators read them at least once a second,
// and the users allow 5 s in all.
const evacStaleAfter = 2 * time.Second

// SetEvacuations sets the data centres in which operators want no tasks started. The newest
// version counts, whoever sends it. It stays in force however old it gets; otherwise the worker
// would have to stop in every outage of the store.
func (t *Table) SetEvacuations(_ time.Time, e routing.Evacuations) {
	if e.Offset < t.evacuations.Offset {
		return
	}
	t.evacuations = e
	evacuated := e.Has(t.cfg.DataCentre)
	if evacuated == t.evacuated {
		return
	}
	t.evacuated = evacuated
	t.queueStatuses()
	if !evacuated {
		t.note(DataCentreReturned, wire.RunRef{}, t.cfg.DataCentre)
		return
	}
	t.note(DataCentreEvacuated, wire.RunRef{}, t.cfg.DataCentre)
	t.stopUnanswered()
}

// applyOwnerEvacuations applies the evacuations that a coordinator's heartbeat carries.
func (t *Table) applyOwnerEvacuations(now time.Time, m *wire.Evacuations) {
	if m == nil || m.Offset < t.evacuations.Offset {
		return
	}
	readAt := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	if readAt.After(t.evacReadAt) {
		t.evacReadAt = readAt
	}
	t.SetEvacuations(now, routing.Evacuations{Offset: m.Offset, DataCentres: m.DataCentres})
}

// EvacuationsStale returns whether no connected coordinator has recently read the evacuations
// from the store, so that the worker has to read them itself.
func (t *Table) EvacuationsStale(now time.Time) bool { return now.Sub(t.evacReadAt) > evacStaleAfter }

// stopUnanswered stops the starts that had no answer. Resending them could start tasks in an
// evacuated data centre.
func (t *Table) stopUnanswered() {
	unanswered := func(r *run) bool { return r.state == runStarting && r.unanswered }
	for _, ref := range t.refsWhere(unanswered) {
		t.note(StartUnanswered, ref, string(DataCentreEvacuated))
		t.sendStop(t.runs[ref])
	}
}
