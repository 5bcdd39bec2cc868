package promises

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Further constants of the cases with tasks that crash servers.
const (
	crashingJobs        = 4
	maxCrashDelay       = 20 * time.Millisecond // after the start
	maxStartsAfterThird = 2                     // of a task during whose runs three servers have crashed
	crashesToFail       = 2                     // crashes during runs of one task, before its job may fail for them
)

// crashingRegressions are seeds that failed once, each with its cause.
var crashingRegressions = []failedSeed{
	{20261235, "a best-effort job that was sent again crashed the same number of servers again"},
	{20261211, "suspected crashes of a durable job were not stored, and lost with all processes"},
	{881010, "a best-effort job was cancelled while two crashes were only suspected, and sent again after a loss of all processes"},
	{20261349, "a durable job failed after one crash and one end that was lost with its server before it was acknowledged"},
}

// silentRegressions are seeds of TestSilentCrash that failed once.
var silentRegressions = []failedSeed{
	{20261306, "a task that waited for reports on silent servers was started after its job had been refused"},
}

// TestCrashingTask runs cases in which some tasks crash the servers that start them, without other
// faults and with all of them. It guards against a task that is started again without end after
// each crash. That was observed: five times within a minute, nine to eleven of the eleven
// backend servers of a service crashed within 0.3 to 0.7 s, and nearly all calls were refused until
// they were back. One task crashed each server some 10 ms after the start, and its coordinator
// ordered it again at once on a server that had not run it yet. A run that was lost with its server
// counted for nothing, so only the time limit of the job ended the series. Of all tasks that ran on
// the lost servers, only this one was on nearly all of them, and no server crashed without it. The
// cases below showed the same without other faults, until crashes were counted.
func TestCrashingTask(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", defaultCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	replay(t, crashingRegressions, func(seed uint64) *world { return runCrashing(seed, 0) })
	for _, kinds := range []int{0, allFaults} {
		crashes, othersGivenUp := 0, 0
		for i := range cases {
			w := runCrashing(seed+i, kinds)
			if w.violation != "" {
				t.Fatalf("seed %d with %d kinds of faults: %s", seed+i, kinds, w.violation)
			}
			crashes += w.counts["crashes by tasks"]
			othersGivenUp += w.counts["failed for crashes by other jobs"]
		}
		if crashes == 0 {
			t.Fatal("no task crashed a server")
		}
		t.Logf("%d kinds of faults: %d cases, %d servers crashed by %d tasks, %d other jobs given up", kinds, cases, crashes, cases*crashingJobs, othersGivenUp)
	}
}

// TestCrashingTaskAfterLossOfAll runs a case in which all processes, with all that they had
// recorded, are lost between two submissions of one best-effort job. Its task crashes two servers
// before that and two after, where another suspected task ran with it.
func TestCrashingTaskAfterLossOfAll(t *testing.T) {
	const seed = 20261354
	if w := runCrashing(seed, allFaults); w.violation != "" {
		t.Fatalf("seed %d: %s", seed, w.violation)
	}
}

// TestSilentCrash runs such cases without other faults where the box fails with its server: calls
// to the server get no answer, and the worker can only let its lease expire.
func TestSilentCrash(t *testing.T) {
	cases := envNumber("LICHENFALL_CASES", fewerCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	for i := range cases {
		w := newWorld(seed + i)
		w.silentCrashes = true
		w.runCrashing(0)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed+i, w.violation)
		}
	}
}

// TestSilentCrashRegressions runs the seeds that failed once.
func TestSilentCrashRegressions(t *testing.T) {
	t.Parallel()
	replay(t, silentRegressions, func(seed uint64) *world {
		w := newWorld(seed)
		w.silentCrashes = true
		w.runCrashing(0)
		return w
	})
}

// runCrashing runs one case with jobs whose first task crashes its servers.
func runCrashing(seed uint64, kinds int) *world {
	w := newWorld(seed)
	w.runCrashing(kinds)
	return w
}

// runCrashing runs one case with jobs whose first task crashes its servers, in a world that has its
// options set.
func (w *world) runCrashing(kinds int) {
	for n := range crashingJobs {
		j := newClientJob(w, jobsInCase+n, n%2 == 0)
		j.crashing = true
		w.after(warmUp+w.between(0, faultPhase), j.send)
	}
	w.runCase(kinds)
}

// crashesServer returns whether the task crashes the servers that start it.
func (j *clientJob) crashesServer(task durable.TaskID) bool {
	return j.crashing && task.Step == 0 && task.Index == 0
}

// crashSoon crashes the server within maxCrashDelay, unless the run has ended by then.
func (b *backendNode) crashSoon(ref wire.RunRef) {
	incarnation := b.incarnation
	b.w.after(b.w.between(time.Millisecond, maxCrashDelay), func() {
		if !b.up || b.incarnation != incarnation || b.running[ref] == nil {
			return
		}
		b.w.counts["crashes by tasks"]++
		b.crash()
		b.w.after(b.w.between(time.Second, 4*time.Second), func() {
			if !b.up && b.incarnation == incarnation {
				b.restart()
			}
		})
	})
}

// crashed counts a crash of a server during a run of the task.
func (j *clientJob) crashed(task durable.TaskID) { j.crashes[task]++ }

// checkCrashes checks that a task during whose runs three servers have crashed is started at most
// maxStartsAfterThird times more.
func (j *clientJob) checkCrashes(task durable.TaskID) {
	const third = 3
	if !j.crashesServer(task) || j.crashes[task] < third {
		return
	}
	j.startsAfterThird[task]++
	if j.startsAfterThird[task] > maxStartsAfterThird {
		j.w.violated("%v was started %d more times after three servers had crashed during its runs", task, j.startsAfterThird[task])
	}
}

// mayBeGivenUp returns whether enough servers have crashed during runs of one of the job's tasks.
func (j *clientJob) mayBeGivenUp() bool {
	for _, n := range j.crashes {
		if n >= crashesToFail {
			return true
		}
	}
	return false
}
