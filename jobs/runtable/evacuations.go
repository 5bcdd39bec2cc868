package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/wire"
)

// unheardAfter is how old the coordinators' newest word of evacuations may get before the
// worker reads the operators' records itself. Coordinators hear of them once a second and more
// often, and the users allow 5 s in all.
const unheardAfter = 2 * time.Second

// SetEvacuations takes the data centres in which operators want no task started. The newest
// word counts, whoever has it; it stays in force however old it gets: else the worker would
// have to stop in each outage of the store.
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
	t.touchOwners()
	if !evacuated {
		t.note(DataCentreReturned, wire.RunRef{}, t.cfg.DataCentre)
		return
	}
	t.note(DataCentreEvacuated, wire.RunRef{}, t.cfg.DataCentre)
	t.sealUnanswered()
}

// hearOwner takes what a coordinator's heartbeat says of evacuations.
func (t *Table) hearOwner(now time.Time, m *wire.Evacuations) {
	if m == nil || m.Offset < t.evacuations.Offset {
		return
	}
	told := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	if told.After(t.toldAt) {
		t.toldAt = told
	}
	t.SetEvacuations(now, routing.Evacuations{Offset: m.Offset, DataCentres: m.DataCentres})
}

// EvacuationsStale returns whether no coordinator here has had word of evacuations from
// the store for long, so that the worker has to ask.
func (t *Table) EvacuationsStale(now time.Time) bool { return now.Sub(t.toldAt) > unheardAfter }

// sealUnanswered stops the starts that had no answer: to repeat them would be to start
// tasks in an evacuated data centre.
func (t *Table) sealUnanswered() {
	unanswered := func(r *run) bool { return r.state == runStarting && r.unanswered }
	for _, ref := range t.refsWhere(unanswered) {
		t.note(StartUnanswered, ref, string(DataCentreEvacuated))
		t.sendStop(t.runs[ref])
	}
}
