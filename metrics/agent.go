package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/queue"
)

// Agent holds the metrics of an agent.
type Agent struct {
	results  map[string]tally.Counter
	verdicts map[string]tally.Counter
	violated map[string]tally.Counter
	usage    [2]tally.Gauge // cores, bytes
	started  tally.Counter
	run      tally.Timer
	queued   tally.Gauge
	running  tally.Gauge
	claims   tally.Gauge
	evicted  tally.Gauge
}

// NewAgent registers the metrics of an agent, all at zero.
func NewAgent(s tally.Scope) *Agent {
	var verdicts []string
	for _, v := range claim.Verdicts() {
		verdicts = append(verdicts, v.String())
	}
	return &Agent{
		results:  labelled(s, "tasks", "kind", Kinds()),
		verdicts: labelled(s, "claims_answered", "verdict", verdicts),
		violated: labelled(s, "promises_violated", "promise", append(queue.Promises(), other)),
		usage:    [2]tally.Gauge{s.Gauge("backend_cores"), s.Gauge("backend_memory_bytes")},
		started:  s.Counter("tasks_started"),
		run:      s.Timer("task_run"),
		queued:   s.Gauge("tasks_queued"),
		running:  s.Gauge("tasks_running"),
		claims:   s.Gauge("claims_remembered"),
		evicted:  s.Gauge("claims_forgotten_early"),
	}
}

// Result counts the end of a task; failure.None is a task with an answer.
func (a *Agent) Result(k failure.Kind) { inc(a.results, k.String(), 1) }

// Verdict counts a reply to a claim.
func (a *Agent) Verdict(v claim.Verdict) { inc(a.verdicts, v.String(), 1) }

// Violated counts a violated promise.
func (a *Agent) Violated(promise string) { inc(a.violated, promise, 1) }

// Usage records the usage that the backend server reports.
func (a *Agent) Usage(cores, bytes float64) {
	a.usage[0].Update(cores)
	a.usage[1].Update(bytes)
}

// Started counts a task sent to the backend server.
func (a *Agent) Started() { a.started.Inc(1) }

// Ran records the time from sending a task to the backend server to its end.
func (a *Agent) Ran(d time.Duration) { a.run.Record(d) }

// Load records the numbers of tasks that wait and that run.
func (a *Agent) Load(queued, running int) {
	a.queued.Update(float64(queued))
	a.running.Update(float64(running))
}

// Claims records the number of stored claims, and of claims so far that were evicted before their
// time for want of space.
func (a *Agent) Claims(remembered int, evicted uint64) {
	a.claims.Update(float64(remembered))
	a.evicted.Update(float64(evicted))
}
