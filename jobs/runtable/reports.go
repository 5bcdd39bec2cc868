package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Report is what the backend server reports about itself unasked. It may arrive late: the
// incarnation that sent it may be over, or a later report of the same incarnation may have
// arrived before it.
type Report struct {
	Identity
	Number uint64 // rises with each report of an incarnation; 0 if reports are not numbered
	// Cold is how much longer the backend server will be slow because it has just started, or
	// has started no task for a while.
	Cold time.Duration
}

// maxSuperseded is how many past incarnations are remembered. A report that is delayed by more
// crashes than that is not expected; its only cost would be another probe.
const maxSuperseded = 16

// Reported handles a report. A report of the incarnation in force counts unless a later one has
// arrived. A report of any other incarnation counts only once the backend server has answered a
// probe for that incarnation that was sent after the report arrived. A delayed report of a
// crashed incarnation therefore ends nothing of the living one.
func (t *Table) Reported(now time.Time, r Report) {
	switch {
	case slices.Contains(t.superseded, r.Incarnation()):
		t.noteFrequent(ReportLate, wire.RunRef{}, reasonIncarnationOver)
	case t.hasIdentity && r.Incarnation() == t.identity.Incarnation():
		t.currentReported(now, r)
	default:
		t.addCandidate(r)
		t.probeNext()
	}
}

// currentReported handles a report of the incarnation in force.
func (t *Table) currentReported(now time.Time, r Report) {
	switch {
	case t.identity.Service != "" && r.Service != t.identity.Service:
		t.otherService(now, r)
	case t.noMoreReports || !t.reportsSeen.accept(now, r.Number):
		t.noteFrequent(ReportLate, wire.RunRef{}, reasonOvertaken)
	default:
		t.coldUntil = now.Add(r.Cold)
		t.Identify(now, r.Identity)
	}
}

// addCandidate keeps the newest report of an incarnation that is not in force.
func (t *Table) addCandidate(r Report) {
	for i := range t.candidates {
		if c := &t.candidates[i]; c.Incarnation() == r.Incarnation() {
			if r.Number == 0 || r.Number > c.Number {
				*c = r
			}
			return
		}
	}
	t.candidates = append(t.candidates, r)
}

// probeNext probes whether the backend server is the first of the candidates. Only one probe is
// pending at a time, so that answers arrive in the order of the probes.
func (t *Table) probeNext() {
	if t.probing != (Incarnation{}) || len(t.candidates) == 0 {
		return
	}
	t.probing = t.candidates[0].Incarnation()
	t.effects.Probe = &RenewCall{Instance: t.probing.Instance, Born: t.probing.Born, Limit: t.cfg.CallLimit}
}

// ProbeAnswered handles the answer to Effects.Probe, a RenewCall without a token, which renews
// nothing. Only the incarnation that it names answers it or refuses it for its token.
func (t *Table) ProbeAnswered(now time.Time, call RenewCall, result RenewResult) {
	if call.Incarnation() != t.probing {
		return
	}
	t.probing = Incarnation{}
	switch result {
	case RenewUnanswered:
	case RenewOK, RenewFenced:
		c := t.removeCandidate(call.Incarnation())
		t.Identify(now, c.Identity)
		t.reportsSeen = reportNumbers{newest: c.Number}
		t.coldUntil = now.Add(c.Cold)
	case RenewWrongIncarnation, RenewRestarted:
		t.removeCandidate(call.Incarnation())
		t.supersede(call.Incarnation())
		t.note(ReportLate, wire.RunRef{}, reasonIncarnationOver)
	case RenewConnectionRefused:
		// The refusal does not show which incarnation is there; the next report is probed again.
		t.removeCandidate(call.Incarnation())
	}
	t.probeNext()
}

// removeCandidate removes the candidate and returns it.
func (t *Table) removeCandidate(inc Incarnation) Report {
	at := slices.IndexFunc(t.candidates, func(c Report) bool { return c.Incarnation() == inc })
	c := t.candidates[at]
	t.candidates = slices.Delete(t.candidates, at, at+1)
	return c
}

// Deregistered handles the backend server's announcement that the incarnation ends. It takes no
// more tasks, and no further report of it counts.
func (t *Table) Deregistered(now time.Time, inc Incarnation) {
	if !t.hasIdentity || inc != t.identity.Incarnation() {
		t.noteFrequent(ReportLate, wire.RunRef{}, reasonIncarnationOver)
		return
	}
	t.noMoreReports = true
	id := t.identity
	id.Ready = false
	t.Identify(now, id)
}

// supersede records that the incarnation is over for good.
func (t *Table) supersede(inc Incarnation) {
	if inc == (Incarnation{}) || slices.Contains(t.superseded, inc) {
		return
	}
	t.superseded = append(t.superseded, inc)
	if len(t.superseded) > maxSuperseded {
		t.superseded = t.superseded[1:]
	}
}
