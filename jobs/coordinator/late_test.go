package coordinator

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/clock"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/wire"
)

// lateCase is a coordinator that knows all others, at a time that the case moves on.
type lateCase struct {
	*Coordinator
	now time.Time
}

func newLateCase(t *testing.T) *lateCase {
	t.Helper()
	steady, err := clock.System()
	if err != nil {
		t.Fatal(err)
	}
	c := newCoordinator(config.DefaultCoordinator(), nil, metrics.NewJobs(tally.NoopScope, nil, scheduler.Classes), logging.Discard(), steady)
	now := steady.Now()
	c.copies.SetInitialPeers(now, nil)
	return &lateCase{c, now}
}

func (c *lateCase) pass(d time.Duration) { c.now = c.now.Add(d) }

// pause has nothing be done for so long.
func (c *lateCase) pause(d time.Duration) {
	c.pass(d)
	c.stalled(c.now, d)
}

// submit has a call come that is taken at once, and returns whether the core has its job.
func (c *lateCase) submit(id durable.JobID) bool {
	s := &durable.Submission{ID: id, BestEffort: true, Steps: []durable.Step{{Count: 1, EstimateMS: 500}}}
	s.Queue = durable.Queue{Name: "q", Service: "s", Stretch: 10, TargetMS: 10000, MaxAttempts: 1}
	cl := &call{kind: wire.CallSubmit, id: id, submission: s, since: c.now}
	cl.answer = make(chan scheduler.Reply, 1)
	c.handleCall(c.now, cl)
	return c.core.HasBestEffort(id)
}

// TestCallIsNotNewAfterAPause guards against a call that may have waited through a pause being
// taken as new, beside its copy, also when a short lateness follows the pause.
func TestCallIsNotNewAfterAPause(t *testing.T) {
	c := newLateCase(t)
	c.pause(4 * time.Second)
	if c.submit("00000000000000a1") {
		t.Error("taken right after the pause")
	}
	c.pass(20 * time.Millisecond)
	c.pause(140 * time.Millisecond)
	c.pass(40 * time.Millisecond)
	if c.submit("00000000000000a2") {
		t.Error("taken after a short lateness")
	}
	c.pass(2 * time.Second)
	if !c.submit("00000000000000a3") {
		t.Error("refused long after the pause")
	}
}

// TestCallCountsFromThePause guards against a job being told to others too late since it waited
// through a pause before it was taken.
func TestCallCountsFromThePause(t *testing.T) {
	c := newLateCase(t)
	c.pause(time.Second)
	if !c.submit("00000000000000a1") {
		t.Fatal("not taken")
	}
	c.pass(c.copies.Settings().AnnounceDeadline() - time.Second)
	c.giveUpUnannounced(c.now)
	if c.core.HasBestEffort("00000000000000a1") {
		t.Error("goes on, and nobody was told")
	}
}

// TestToldJobsAreForgottenInALongPause guards against a coordinator going on with jobs that it told
// others of before a pause in which these have forgotten its word.
func TestToldJobsAreForgottenInALongPause(t *testing.T) {
	for _, length := range []time.Duration{2 * time.Second, 3 * time.Second} {
		c := newLateCase(t)
		if !c.submit("00000000000000a1") {
			t.Fatal("not taken")
		}
		c.pass(c.copies.Settings().AnnounceAfter())
		c.announce(c.now)
		c.pause(length)
		if held, kept := c.core.HasBestEffort("00000000000000a1"), length < c.copies.Settings().RunsEndWithin; held != kept {
			t.Errorf("after %v: held %v", length, held)
		}
	}
}
