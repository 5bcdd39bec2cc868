package scheduler_test

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	earlierEpoch = epoch - 1
	ownerTTL     = 1200 * time.Millisecond
	timerSlack   = 200 * time.Millisecond
)

// takenOver returns a fixture that has taken over the stored job from the earlier terms, beside a
// worker that has reported its runs and one that cannot be reached.
func takenOver(earlier ...uint64) *fixture {
	f := newFixture()
	f.core.WorkerKnown(f.now, "unreachable")
	f.core.Acquire(f.now, &scheduler.Takeover{
		Partition: f.partition(), Epoch: epoch, Earlier: earlier, EarlierEndBy: f.now.Add(ownerTTL),
		Jobs: map[durable.JobID]*durable.Stored{id: {Submission: job(tasks(1))}},
	})
	f.worker("w1")
	return f
}

func (f *fixture) writeOff() time.Duration { return f.cfg.Core("").WriteOff }

// ordersAfter returns how many runs have been ordered once the time has passed.
func (f *fixture) ordersAfter(d time.Duration) int {
	f.wait(d, "w1")
	return len(f.orders(f.core.Take(f.now)))
}

// TestUnreachableWorkerIsWrittenOffAfterEarlierTerms guards against tasks that run twice: what an
// unreachable worker runs was written off counting from the takeover, while an earlier owner went on
// renewing its leases.
func TestUnreachableWorkerIsWrittenOffAfterEarlierTerms(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier []uint64
	}{
		{"an owner that is not heard from", []uint64{earlierEpoch}},
		{"an owner that left no record", nil},
		{"one of two owners is not heard from", []uint64{earlierEpoch, earlierEpoch - 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := takenOver(c.earlier...)
			f.core.EarlierTermEnded(f.now, f.partition(), earlierEpoch-1)
			if n := f.ordersAfter(ownerTTL + f.writeOff() - timerSlack); n != 0 {
				t.Errorf("%d runs are ordered while the earlier owner's may be at work", n)
			}
			if n := f.ordersAfter(2 * timerSlack); n != 1 {
				t.Errorf("%d runs are ordered once they have ended", n)
			}
		})
	}
}

// TestEndedTermsDelayNoTakeover guards against takeovers that wait for owners which are known to have
// stopped.
func TestEndedTermsDelayNoTakeover(t *testing.T) {
	f := takenOver(earlierEpoch, earlierEpoch-1)
	f.core.EarlierTermEnded(f.now, f.partition(), earlierEpoch)
	f.core.EarlierTermEnded(f.now, f.partition(), earlierEpoch-1)
	if n := f.ordersAfter(f.writeOff() - timerSlack); n != 0 {
		t.Errorf("%d runs are ordered before the write-off", n)
	}
	if n := f.ordersAfter(2 * timerSlack); n != 1 {
		t.Errorf("%d runs are ordered after the write-off", n)
	}
}

// TestRunTakenOverIsWrittenOffAfterEarlierTerms guards against the same for a run that the worker has
// reported: its process may have been restarted since, and not know that the earlier owner is fenced.
func TestRunTakenOverIsWrittenOffAfterEarlierTerms(t *testing.T) {
	f := takenOver(earlierEpoch)
	f.core.WorkerUp(f.now, "unreachable", "nadi")
	f.status("unreachable", 4000)
	ref := wire.RunRef{Task: durable.TaskID{Job: id}, Run: 1}
	f.core.Runs(f.now, "unreachable", &wire.PartitionRuns{Partition: f.partition(), Epoch: epoch, Running: []wire.RunRef{ref}})
	f.core.WorkerDown(f.now, "unreachable")
	if n := f.ordersAfter(ownerTTL + f.writeOff() - timerSlack); n != 0 {
		t.Errorf("%d runs are ordered while the earlier owner may keep the run alive", n)
	}
	if n := f.ordersAfter(2 * timerSlack); n != 1 {
		t.Errorf("%d runs are ordered once it has ended", n)
	}
}

// TestRecordsOfEndedTermsAreRemoved guards against later owners that wait for terms which have ended;
// the removal is repeated if the store refuses it.
func TestRecordsOfEndedTermsAreRemoved(t *testing.T) {
	f := takenOver(earlierEpoch)
	f.core.EarlierTermEnded(f.now, f.partition(), earlierEpoch)
	for _, result := range []scheduler.CommitResult{scheduler.CommitRefused, scheduler.CommitOK} {
		f.pass(time.Second)
		commits := f.core.Take(f.now).Commits
		if len(commits) != 1 || len(commits[0].Records) != 1 || commits[0].Records[0].Key != durable.TermTombstone(earlierEpoch).Key {
			t.Fatalf("the commits are %v", commits)
		}
		f.core.Committed(f.now, f.partition(), epoch, result)
	}
	f.pass(time.Second)
	if commits := f.core.Take(f.now).Commits; len(commits) != 0 {
		t.Errorf("it is removed again: %v", commits)
	}
}
