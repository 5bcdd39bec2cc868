package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/queue"
)

// Agent counts what an agent does.
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
	forgot   tally.Gauge
}

// NewAgent returns the counters, all at zero.
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
		forgot:   s.Gauge("claims_forgotten_early"),
	}
}

// Result counts the end of a task; None is a task that was answered.
func (a *Agent) Result(k failure.Kind) { inc(a.results, k.String(), 1) }

// Verdict counts the answer to a claim.
func (a *Agent) Verdict(v claim.Verdict) { inc(a.verdicts, v.String(), 1) }

// Violated counts a broken promise.
func (a *Agent) Violated(promise string) { inc(a.violated, promise, 1) }

// Usage records what the backend server says that it uses.
func (a *Agent) Usage(cores, bytes float64) {
	a.usage[0].Update(cores)
	a.usage[1].Update(bytes)
}

// Started counts a task handed to the backend server.
func (a *Agent) Started() { a.started.Inc(1) }

// Ran records how long the backend server held a task.
func (a *Agent) Ran(d time.Duration) { a.run.Record(d) }

// Load records the present load.
func (a *Agent) Load(queued, running int) {
	a.queued.Update(float64(queued))
	a.running.Update(float64(running))
}

// Claims records the size of the claim table.
func (a *Agent) Claims(remembered int, evicted uint64) {
	a.claims.Update(float64(remembered))
	a.forgot.Update(float64(evicted))
}
