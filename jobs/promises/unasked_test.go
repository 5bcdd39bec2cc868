package promises

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
)

// Further constants of the cases with cancelled jobs.
const (
	longJobs       = 24
	longTaskTime   = 40 * time.Second // of each run, unless it is stopped before
	lateCallShare  = 0.3              // of the calls to backend servers that are executed late
	removedFor     = time.Hour        // of a removed process: it never comes back
	minCancelDelay = 200 * time.Millisecond
	maxCancelDelay = 4 * time.Second
	// maxRunAfterCancel is how long a run may still execute after the acknowledgement of its
	// cancel, its start or the latest removal of a process: the time that the users' platform gives
	// boxes without faults to be in touch, and the time of a stop.
	maxRunAfterCancel = 3*time.Second + stopGrace
)

// unaskedRegressions are seeds that failed once, each with its cause.
var unaskedRegressions = []failedSeed{
	{20261335, "a coordinator did not stop a run that it had queried and no longer needed: the stop had arrived before the worker's next incarnation found the run"},
}

// TestUnasked runs cases in which jobs of long tasks are cancelled while calls to backend servers
// are executed seconds late, and coordinators and workers are removed for good. Every run of a
// cancelled job must end soon, whether it was started in time or late, and whichever process
// ordered it.
func TestUnasked(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", fewerCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	replay(t, unaskedRegressions, runUnasked)
	cancelled, late := 0, 0
	for i := range cases {
		w := runUnasked(seed + i)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed+i, w.violation)
		}
		cancelled += w.counts["cancelled"]
		late += w.counts["late orders"]
	}
	if cancelled == 0 || late == 0 {
		t.Fatalf("%d jobs cancelled, %d orders late", cancelled, late)
	}
	t.Logf("%d cases, %d jobs cancelled, %d calls executed late", cases, cancelled, late)
}

func runUnasked(seed uint64) *world {
	w := newWorld(seed)
	w.taskTime = longTaskTime
	for n := range longJobs {
		j := newClientJob(w, n, w.chance(0.4))
		for i := range j.submission.Steps {
			j.submission.Steps[i].EstimateMS = longTaskTime.Milliseconds()
		}
		at := warmUp + w.between(0, faultPhase)
		w.after(at, j.send)
		w.after(at+w.between(minCancelDelay, maxCancelDelay), j.cancelUntilAcknowledged)
	}
	for _, n := range w.workers {
		n.backend.lateShare = lateCallShare
	}
	removed := w.now
	remove := func(kill func()) {
		w.after(warmUp+w.between(0, faultPhase), func() {
			removed = w.now
			kill()
		})
	}
	remove(func() { w.killCoordinator(w.random.IntN(coordinatorCount), removedFor) })
	remove(func() { w.killWorker(w.random.IntN(workerCount), removedFor) })
	remove(func() { w.killWorker(w.random.IntN(workerCount), w.between(50*time.Millisecond, time.Second)) })
	for end := w.now.Add(warmUp + faultPhase + recoveryPhase); w.now.Before(end) && w.violation == ""; {
		w.run(queryInterval / 8)
		for _, id := range ordered.Keys(w.clients) {
			w.checkUnasked(w.clients[id], removed)
		}
	}
	return w
}

// cancelUntilAcknowledged sends the cancel of a durable job until it is acknowledged. A best-effort
// job is cancelled by its caller closing the connection.
func (j *clientJob) cancelUntilAcknowledged() {
	if j.submission.BestEffort {
		j.done = true
		if j.cancelled.IsZero() {
			j.cancelled = j.w.now
		}
		for _, n := range j.w.coordinators {
			n.abandon(j.submission.ID)
		}
		return
	}
	if !j.cancelled.IsZero() || j.final.Final() {
		return
	}
	if j.accepted {
		j.cancel()
	}
	j.w.after(queryInterval, j.cancelUntilAcknowledged)
}

// checkUnasked checks that no run of a cancelled job executes for longer than maxRunAfterCancel.
func (w *world) checkUnasked(j *clientJob, removed time.Time) {
	if j.cancelled.IsZero() {
		return
	}
	for _, n := range w.workers {
		if !n.backend.up {
			continue
		}
		n.backend.endDueRuns()
		for _, ref := range n.backend.refs() {
			if ref.Task.Job == j.submission.ID {
				since := latest(j.cancelled, removed, n.backend.running[ref].started)
				if over := w.now.Sub(since); over > maxRunAfterCancel {
					w.violated("%v run %d is still executing %v after its job was cancelled, at %s", ref.Task, ref.Run, over, n.name)
				}
			}
		}
	}
}

func latest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.After(first) {
			first = t
		}
	}
	return first
}
