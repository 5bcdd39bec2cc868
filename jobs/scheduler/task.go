package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

type taskState uint8

const (
	taskBlocked  taskState = iota // a step before it is not done
	taskReady                     // wants a worker
	taskAssigned                  // sent to a worker
	taskDone
)

// task is one task of a job that is not final.
type task struct {
	job        *job
	number     uint32 // over all steps
	id         durable.TaskID
	step       *durable.Step
	state      taskState
	starts     uint32    // runs ordered under this epoch
	run        uint32    // the newest run
	failures   []uint32  // runs that failed
	crashes    crashes   // runs that were lost with a crashed backend server
	silences   []silence // servers that fell silent under it, and may have crashed
	handedBack bool      // the newest run was handed back
	straggles  int       // runs that were stopped as stragglers
	avoid      []string  // workers where a run failed or straggled
	worker     *worker   // while assigned
	startSeq   uint64    // of the StartRuns that carried it
	checkpoint string    // checkpoint to resume from
	holdNoted  bool      // has held out for a quicker place
	due        time.Time // by when it has to begin for the job to be on time
	sortKey    time.Time // its turn, while it is in a heap
	heap       *taskHeap
	position   int // in heap; -1 when it is in none
}

// byTask orders tasks by their jobs, and within one by their numbers.
func byTask(a, b *task) int {
	return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.number, b.number))
}

// runsPerEpoch is how many run numbers of a task each owner of a partition may use: the
// numbers of a later owner are above them. A hand-back uses one up, each 2 to 3 ms at the
// most. Enough for ten seconds of hand-backs, and for 262,144 changes of owner below
// wire.BestEffortRun.
const runsPerEpoch = 4096

// nextRun returns the number of the task's next run. Numbers of a later owner
// are above all that earlier ones used.
func (t *task) nextRun(epoch uint64) uint32 {
	t.starts++
	base := uint32(epoch-t.job.sub.Epoch) * runsPerEpoch
	if t.job.sub.BestEffort {
		base = wire.BestEffortRun
	}
	t.run = max(t.run+1, base+t.starts)
	return t.run
}

// work returns the task's work by its estimate, in thousandths of a core times nanoseconds.
func (t *task) work() float64 { return float64(t.step.Need.CPU) * float64(t.step.Estimate()) }

func (t *task) ref() wire.RunRef { return wire.RunRef{Task: t.id, Run: t.run} }

// failed notes a failed run and returns how many there have been.
func (t *task) failed(run uint32) uint32 {
	if !slices.Contains(t.failures, run) {
		t.failures = append(t.failures, run)
	}
	return uint32(len(t.failures))
}

// avoids returns whether the task should not run on the worker again.
func (t *task) avoids(w *worker) bool { return slices.Contains(t.avoid, w.name) }
