package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/fakestore"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/ports"
	"github.com/lichenfall/lichenfall/metrics"
)

// otherMember sorts behind each coordinator, so that a shift of 1 deals it the only partition.
const otherMember = "~other"

// termCase is a running coordinator and another member of its group, played by the test, that share
// the only partition of a store. The store deals it to one or the other at once.
type termCase struct {
	t *testing.T
	*Coordinator
	client *fakestore.Client
	other  uint64 // generation that the other member has heard
}

func newTermCase(t *testing.T) *termCase {
	t.Helper()
	cfg := config.DefaultCoordinator()
	cfg.Peers.Listen = ports.Any
	cfg.Scheduler.Partitions = 1
	client := fakestore.New(1).Client()
	co, err := Start(cfg, client, metrics.NewJobs(tally.NoopScope, nil, scheduler.Classes), logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(co.Close)
	c := &termCase{t: t, Coordinator: co, client: client}
	c.await("the coordinator owns the partition", func() bool {
		o, _ := c.Overview()
		return o.Partitions == 1
	})
	c.joinOther()
	return c
}

// await waits until the condition holds; the limit is long enough for a slow machine.
func (c *termCase) await(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("not in 30 s: %s", what)
		}
	}
}

func (c *termCase) joinOther() {
	a, err := c.client.Store.Join(context.Background(), otherMember, c.other, time.Hour)
	if err != nil {
		c.t.Fatal(err)
	}
	c.other = a.Generation
}

// dealToOther gives the partition to the other member, which stores the job if id is set.
func (c *termCase) dealToOther(id durable.JobID) {
	c.t.Helper()
	c.client.Reassign(1)
	c.joinOther()
	if err := c.client.Store.Fence(context.Background(), 0, c.other, durable.TermRecord(durable.Term{Epoch: c.other, Address: otherMember})); err != nil {
		c.t.Fatal(err)
	}
	if id == "" {
		return
	}
	r, err := durable.SubmissionRecord(keptJob(id))
	if err == nil {
		err = c.client.Store.Append(context.Background(), 0, c.other, store.FenceNumber+1, []durable.Record{r})
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

// dealBack gives the partition to the coordinator.
func (c *termCase) dealBack() { c.client.Reassign(0) }

func keptJob(id durable.JobID) *durable.Submission {
	s := &durable.Submission{ID: id, Steps: []durable.Step{{Count: 1, EstimateMS: 500}}}
	s.Queue = durable.Queue{Name: "q", Service: "s", Stretch: 10, TargetMS: 10000, MaxAttempts: 1}
	return s
}

// call makes a call about a job, with time for a slow machine.
func (c *termCase) call(f func(context.Context) scheduler.Reply) scheduler.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return f(ctx)
}

func (c *termCase) state(id durable.JobID) scheduler.Reply {
	return c.call(func(ctx context.Context) scheduler.Reply { return c.State(ctx, id) })
}

// accept submits a job until it is accepted.
func (c *termCase) accept(id durable.JobID) {
	c.t.Helper()
	c.await("job "+string(id)+" is accepted", func() bool {
		r := c.call(func(ctx context.Context) scheduler.Reply { return c.Submit(ctx, keptJob(id)) })
		return r.Failure == failure.None
	})
}

// settle gives events of an earlier term the time to be handled.
func settle() { time.Sleep(500 * time.Millisecond) }

// TestReadingOfAnEarlierTermDeniesNoJob guards against a job being lost (410) because the records of
// a partition, read in an earlier term, are taken for those of the present one.
func TestReadingOfAnEarlierTermDeniesNoJob(t *testing.T) {
	const job = "00000000000000a1"
	c := newTermCase(t)
	first := c.client.Hold(fakestore.CallNewest)
	first.Arrive()
	c.dealToOther("")
	c.dealBack()
	c.await("the first reading", func() bool { return first.Answered() == 1 })
	c.dealToOther(job)
	second := c.client.Hold(fakestore.CallNewest)
	second.Arrive()
	c.dealBack()
	c.await("the second reading", func() bool { return second.Answered() == 1 })
	first.Answer()
	settle()
	if r := c.state(job); r.Failure == failure.JobNotFound {
		t.Error("the job is denied before the second reading has been answered")
	}
	second.Answer()
	c.await("the job is known", func() bool {
		r := c.state(job)
		if r.Failure == failure.JobNotFound {
			t.Fatal("an accepted job is denied")
		}
		return r.Failure == failure.None
	})
}

// TestCommitOfAnEarlierTermEndsNoTerm guards against accepted jobs that the store does not have: the
// late failure of a commit ended the present term, and the next one used its epoch and its append
// numbers again, which the store answers without storing anything.
func TestCommitOfAnEarlierTermEndsNoTerm(t *testing.T) {
	c := newTermCase(t)
	held := c.client.Hold(fakestore.CallAppend)
	go c.call(func(ctx context.Context) scheduler.Reply { return c.Submit(ctx, keptJob("00000000000000b1")) })
	c.await("the append", func() bool { return held.Begun() == 1 })
	c.client.Pass(fakestore.CallAppend)
	c.dealToOther("")
	c.dealBack()
	c.accept("00000000000000b2")
	held.Arrive()
	held.Answer()
	settle()
	c.accept("00000000000000b3")
	c.expectStored("00000000000000b2", "00000000000000b3")
}

// TestFenceOfAnEarlierTermEndsNoTerm guards against a partition without an owner: the store's refusal
// of an earlier term's fence ended the present term, which then began again under the same epoch.
func TestFenceOfAnEarlierTermEndsNoTerm(t *testing.T) {
	c := newTermCase(t)
	held := c.client.Hold(fakestore.CallFence)
	c.dealToOther("")
	c.dealBack()
	c.await("the first fence", func() bool { return held.Begun() == 1 })
	c.dealToOther("")
	held.Arrive()
	c.await("the refusal of the first fence", func() bool { return held.Answered() == 1 })
	c.client.Pass(fakestore.CallFence)
	c.dealBack()
	c.accept("00000000000000c1")
	readings := c.client.Hold(fakestore.CallNewest)
	held.Answer()
	settle()
	if n := readings.Begun(); n != 0 {
		t.Errorf("the partition is read again %d times", n)
	}
	readings.Arrive()
	readings.Answer()
	c.accept("00000000000000c2")
	c.expectStored("00000000000000c1", "00000000000000c2")
}

func (c *termCase) expectStored(ids ...durable.JobID) {
	c.t.Helper()
	records, err := c.client.Store.NewestRecords(context.Background(), 0)
	if err != nil {
		c.t.Fatal(err)
	}
	_, records = durable.SplitTerms(records)
	stored, _ := durable.Collect(records)
	for _, id := range ids {
		if s := stored[id]; s == nil || s.Submission == nil {
			c.t.Errorf("job %s was accepted, and the store does not have it", id)
		}
	}
}
