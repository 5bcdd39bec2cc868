package runtable

import (
	"math"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Report is what the backend server says of itself without being asked. It may have
// been long on its way: the life that sent it may be over, and it may come after a
// later one of the same life.
type Report struct {
	Identity
	Number uint64 // rises with each report of a life; 0 where it has none
	// Cold is how much longer the backend server is slow from its start, or from a time in
	// which nothing was started there.
	Cold time.Duration
}

// maxSuperseded is how many lives that are over are remembered. A report that is later than so
// many crashes is not expected, and would only be asked about once more.
const maxSuperseded = 16

// lastReport is the number of a report after which none of the life counts.
const lastReport = math.MaxUint64

// Reported takes a report. One of the life in force counts if none that was sent later
// has come. One of any other life is believed once the backend server has answered under
// that name to a question asked after the report came: so a report of a crashed life,
// which the wire has held up, ends nothing of the living one.
func (t *Table) Reported(now time.Time, r Report) {
	switch {
	case slices.Contains(t.superseded, r.Incarnation()):
		t.noteFrequent(ReportLate, wire.RunRef{}, reasonLifeOver)
	case t.known && r.Incarnation() == t.identity.Incarnation():
		t.reportedAgain(now, r)
	default:
		t.addCandidate(r)
		t.askNext()
	}
}

// reportedAgain takes a report of the life in force.
func (t *Table) reportedAgain(now time.Time, r Report) {
	if r.Number != 0 && r.Number <= t.reportNumber {
		t.noteFrequent(ReportLate, wire.RunRef{}, reasonOvertaken)
		return
	}
	t.reportNumber = r.Number
	t.coldUntil = now.Add(r.Cold)
	t.Identify(now, r.Identity)
}

// addCandidate keeps the newest report of a life that is not known to live.
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

// askNext asks the backend server whether it is the first of the candidates. One
// question is on its way at a time, so that answers come in the order of the questions.
func (t *Table) askNext() {
	if t.asking != (Incarnation{}) || len(t.candidates) == 0 {
		return
	}
	t.asking = t.candidates[0].Incarnation()
	t.effects.Probe = &RenewCall{Instance: t.asking.Instance, Born: t.asking.Born, Limit: t.cfg.CallLimit}
}

// ProbeAnswered takes the answer to the question of Effects.Ask: a RenewCall without a token,
// which renews nothing. It is answered, or refused for its token, by that life alone.
func (t *Table) ProbeAnswered(now time.Time, call RenewCall, result RenewResult) {
	if call.Incarnation() != t.asking {
		return
	}
	t.asking = Incarnation{}
	switch result {
	case RenewUnanswered:
	case RenewOK, RenewFenced:
		c := t.takeCandidate(call.Incarnation())
		t.Identify(now, c.Identity)
		t.reportNumber = c.Number
		t.coldUntil = now.Add(c.Cold)
	case RenewWrongIncarnation, RenewRestarted:
		t.takeCandidate(call.Incarnation())
		t.supersede(call.Incarnation())
		t.note(ReportLate, wire.RunRef{}, reasonLifeOver)
	case RenewConnectionRefused:
		// Whichever life it was, its next report asks again.
		t.takeCandidate(call.Incarnation())
	}
	t.askNext()
}

// takeCandidate removes the candidate and returns it.
func (t *Table) takeCandidate(life Incarnation) Report {
	at := slices.IndexFunc(t.candidates, func(c Report) bool { return c.Incarnation() == life })
	c := t.candidates[at]
	t.candidates = slices.Delete(t.candidates, at, at+1)
	return c
}

// Deregistered takes the backend server's word that the life ends: it takes no more
// tasks, and no report of it counts any more.
func (t *Table) Deregistered(now time.Time, life Incarnation) {
	if !t.known || life != t.identity.Incarnation() {
		t.noteFrequent(ReportLate, wire.RunRef{}, reasonLifeOver)
		return
	}
	t.reportNumber = lastReport
	id := t.identity
	id.Ready = false
	t.Identify(now, id)
}

// supersede notes that the life is over for good.
func (t *Table) supersede(life Incarnation) {
	if life == (Incarnation{}) || slices.Contains(t.superseded, life) {
		return
	}
	t.superseded = append(t.superseded, life)
	if len(t.superseded) > maxSuperseded {
		t.superseded = t.superseded[1:]
	}
}
