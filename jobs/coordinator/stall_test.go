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

// stallCase is a coordinator whose dedup table is ready, with a time that the test advances.
type stallCase struct {
	*Coordinator
	now time.Time
}

func newStallCase(t *testing.T) *stallCase {
	t.Helper()
	steady, err := clock.System()
	if err != nil {
		t.Fatal(err)
	}
	c := newCoordinator(config.DefaultCoordinator(), nil, metrics.NewJobs(tally.NoopScope, nil, scheduler.Classes), logging.Discard(), steady)
	now := steady.Now()
	c.dedup.SetInitialPeers(now, nil)
	return &stallCase{c, now}
}

func (c *stallCase) advance(d time.Duration) { c.now = c.now.Add(d) }

// stall makes the coordinator handle nothing for d.
func (c *stallCase) stall(d time.Duration) {
	c.advance(d)
	c.stalled(c.now, d)
}

// submit makes a call that is read and handled now, and returns whether the core holds its job.
func (c *stallCase) submit(id durable.JobID) bool {
	s := keptJob(id)
	s.BestEffort = true
	cl := &call{kind: wire.CallSubmit, id: id, submission: s, since: c.now}
	cl.answer = make(chan scheduler.Reply, 1)
	c.handleCall(c.now, cl)
	return c.core.HasBestEffort(id)
}

// TestCallAfterAStallIsRefused guards against a job running twice because its call waited through a
// stall while its caller sent it again elsewhere, also when a short stall follows the long one.
func TestCallAfterAStallIsRefused(t *testing.T) {
	c := newStallCase(t)
	c.stall(4 * time.Second)
	if c.submit("00000000000000a1") {
		t.Error("accepted right after the stall")
	}
	c.advance(20 * time.Millisecond)
	c.stall(140 * time.Millisecond)
	c.advance(40 * time.Millisecond)
	if c.submit("00000000000000a2") {
		t.Error("accepted after a short stall that followed")
	}
	c.advance(2 * time.Second)
	if !c.submit("00000000000000a3") {
		t.Error("refused long after the stall")
	}
}

// TestAgeOfCallIncludesStall guards against a job being announced too late because its age does not
// include a stall that its call waited through.
func TestAgeOfCallIncludesStall(t *testing.T) {
	c := newStallCase(t)
	c.stall(time.Second)
	if !c.submit("00000000000000a1") {
		t.Fatal("call refused")
	}
	c.advance(c.dedup.Settings().AnnounceDeadline() - time.Second)
	c.giveUpUnannounced(c.now)
	if c.core.HasBestEffort("00000000000000a1") {
		t.Error("still held, though it was not announced")
	}
}

// TestAnnouncedJobsAreGivenUpAfterALongStall guards against a coordinator continuing jobs that it
// announced before a stall so long that the others have discarded the announcement.
func TestAnnouncedJobsAreGivenUpAfterALongStall(t *testing.T) {
	for _, length := range []time.Duration{2 * time.Second, 3 * time.Second} {
		c := newStallCase(t)
		if !c.submit("00000000000000a1") {
			t.Fatal("call refused")
		}
		c.advance(c.dedup.Settings().AnnounceAfter())
		c.announce(c.now)
		c.stall(length)
		if held, kept := c.core.HasBestEffort("00000000000000a1"), length < c.dedup.Settings().RunsEndWithin; held != kept {
			t.Errorf("after a stall of %v: held %v", length, held)
		}
	}
}
