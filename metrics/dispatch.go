package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/dispatch"
)

// Dispatch holds the metrics of an entry. It implements dispatch.Counter.
type Dispatch struct {
	answers  map[string]tally.Counter
	refused  map[string]tally.Counter
	retried  map[string]tally.Counter
	claims   map[string]tally.Counter
	dropped  map[string]tally.Counter
	violated map[string]tally.Counter
	resent   map[string]tally.Counter
	suspect  map[string]tally.Counter
	claimed  tally.Timer
	placed   tally.Counter
}

// NewDispatch registers the metrics of an entry, all at zero.
func NewDispatch(s tally.Scope) *Dispatch {
	kinds := Kinds()
	var verdicts []string
	for _, v := range claim.Verdicts() {
		verdicts = append(verdicts, v.String())
	}
	return &Dispatch{
		answers:  labelled(s, "answers", "kind", kinds),
		refused:  labelled(s, "tasks_failed", "kind", kinds),
		retried:  labelled(s, "retries", "kind", kinds),
		claims:   labelled(s, "claims", "verdict", verdicts),
		dropped:  labelled(s, "messages_dropped", "reason", append(dispatch.DropReasons(), other)),
		violated: labelled(s, "promises_violated", "promise", append(dispatch.Promises(), other)),
		resent:   labelled(s, "resends", "found", []string{"running", "answered"}),
		suspect:  labelled(s, "suspicions", "of", []string{"agent", "self"}),
		claimed:  s.Timer("claim_wait"),
		placed:   s.Counter("tasks_placed"),
	}
}

// Kinds returns the names of all kinds of failure, as used in labels.
func Kinds() []string {
	var out []string
	for _, r := range failure.Table() {
		out = append(out, r.Name)
	}
	return out
}

// Answered counts a final answer to a caller.
func (d *Dispatch) Answered(k failure.Kind) { inc(d.answers, k.String(), 1) }

// Refused counts a task that an agent refused or that failed.
func (d *Dispatch) Refused(k failure.Kind) { inc(d.refused, k.String(), 1) }

// Retried counts a task that was placed again.
func (d *Dispatch) Retried(k failure.Kind) { inc(d.retried, k.String(), 1) }

// Claimed counts a reply to a claim and records the time since the claim was sent.
func (d *Dispatch) Claimed(v claim.Verdict, took time.Duration) {
	inc(d.claims, v.String(), 1)
	d.claimed.Record(took)
}

// Dropped counts a message that was ignored because it was late or a duplicate.
func (d *Dispatch) Dropped(reason string) { inc(d.dropped, reason, 1) }

// Violated counts a violated promise.
func (d *Dispatch) Violated(promise string) { inc(d.violated, promise, 1) }

// Resent counts a known submission that was sent again; found is its state.
func (d *Dispatch) Resent(found string) { inc(d.resent, found, 1) }

// Placed counts tasks sent to an agent.
func (d *Dispatch) Placed(n int) { d.placed.Inc(int64(n)) }

// Suspected counts an agent found silent; who is "self" if the entry assumed a fault of its own,
// since too many agents were silent.
func (d *Dispatch) Suspected(who string) { inc(d.suspect, who, 1) }
