package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// taskState is the state of a task.
type taskState uint8

const (
	taskBlocked  taskState = iota // waits for earlier steps, for reports of workers, or while it is suspended
	taskReady                     // waits for a worker
	taskAssigned                  // with a worker
	taskDone
)

// task is one task of a job that is not final.
type task struct {
	job        *job
	number     uint32 // index in job.tasks, over all steps
	id         durable.TaskID
	step       *durable.Step
	state      taskState
	starts     uint32     // number of runs ordered by this coordinator under the current epoch
	run        uint32     // number of the latest run
	failures   []uint32   // numbers of the runs that failed
	crashes    crashes    // backend servers that crashed under it
	silences   []silence  // backend servers that fell silent under it and may have crashed
	handedBack bool       // the worker handed the latest run back without starting it
	straggles  int        // number of runs that were stopped as stragglers
	avoid      []string   // addresses of workers where a run failed or straggled
	worker     *worker    // that it is assigned to; else nil
	startSeq   uint64     // StartRuns.Seq of the current run; 0 if ordered over an earlier connection
	checkpoint string     // to resume from; empty if there is none
	holdNoted  bool       // it has been logged that the task waits for a faster worker
	due        time.Time  // by when it has to begin for the job to be on time
	sortKey    time.Time  // virtual deadline at which it was queued
	group      *taskGroup // of tasks that it is queued with, or was last
	position   int        // in group; -1 if it is not queued
}

// byTask orders tasks by job ID, and tasks of one job by number.
func byTask(a, b *task) int {
	return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.number, b.number))
}

// runsPerEpoch is how many run numbers of a task each owner of a partition may use; the numbers
// of a later owner are above them. A run that is handed back uses up a number, at most one every
// 2 to 3 ms. 4096 suffice for ten seconds of that, and allow 262,144 changes of owner below
// wire.BestEffortRun.
const runsPerEpoch = 4096

// nextRun returns the number of the task's next run. It is above all numbers that earlier owners
// of the partition used.
func (t *task) nextRun(epoch uint64) uint32 {
	t.starts++
	base := uint32(epoch-t.job.sub.Epoch) * runsPerEpoch
	if t.job.sub.BestEffort {
		base = wire.BestEffortRun
	}
	t.run = max(t.run+1, base+t.starts)
	return t.run
}

// work returns the task's estimated work, in thousandths of a core times nanoseconds.
func (t *task) work() float64 { return float64(t.step.Need.CPU) * float64(t.step.Estimate()) }

// ref returns the reference of the task's latest run.
func (t *task) ref() wire.RunRef { return wire.RunRef{Task: t.id, Run: t.run} }

// failed records a failed run, once however often it is reported, and returns the number of
// failed runs.
func (t *task) failed(run uint32) uint32 {
	if !slices.Contains(t.failures, run) {
		t.failures = append(t.failures, run)
	}
	return uint32(len(t.failures))
}

// avoids returns whether a run of the task has failed or straggled at the worker.
func (t *task) avoids(w *worker) bool { return slices.Contains(t.avoid, w.name) }
