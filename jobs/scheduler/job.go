package scheduler

import (
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
	job      *job
	number   uint32 // over all steps
	id       durable.TaskID
	step     *durable.Step
	state    taskState
	starts   uint32   // runs ordered under this epoch
	run      uint32   // the newest run
	failures []uint32 // runs that failed
	worker   *worker  // while assigned
	sentAt   time.Time
	startSeq uint64 // of the StartRuns that carried it
	patience int    // how often it was stopped as a straggler
	avoid    []string
	check    string    // checkpoint
	due      time.Time // by when it has to begin to be on time
	heap     *taskHeap
	position int // in heap; -1 when it is in none
}

// job is one job of an owned partition.
type job struct {
	sub      *durable.Submission // nil once it is final
	id       durable.JobID
	state    durable.State // as decided
	durable  durable.State // as the store has it
	kept     bool          // the submission is in the store
	ran      bool          // a task has run, or may have
	assigned int           // tasks that are with workers
	tasks    []task
	left     int // tasks that are not done
	stepLeft []int
	received time.Time
	longest  time.Duration // the longest chain of work
	due      time.Time     // the objective
	late     time.Time     // after which it is worth nothing
	useless  time.Time     // the same, if the work was much underestimated
	calls    []Call        // wait for the submission
	cancels  []Call        // wait for the cancel
	watchers []watcher     // wait a little for the end
	acks     []ack         // ends to call kept with the next progress
	dirty    bool          // progress is to be written
	final    time.Time     // when it became final
	doubt    bool          // tasks may be on workers that have not answered
	giveUp   time.Time     // a best-effort job that has not begun by then is refused
}

// ack is an end that a worker is told to forget.
type ack struct {
	worker string
	ref    wire.RunRef
}

// lateX is how many times the objective a job may take before its answer is
// of no use.
const lateX = 3

// estimateX is how many times longer than estimated work may well take.
const estimateX = 2

func newJob(s *durable.Submission, now time.Time) *job {
	j := &job{sub: s, id: s.ID, received: now, left: s.Tasks(), stepLeft: make([]int, len(s.Steps))}
	j.tasks = make([]task, 0, j.left)
	for i := range s.Steps {
		step := &s.Steps[i]
		j.stepLeft[i] = int(step.Count)
		for k := range step.Count {
			j.tasks = append(j.tasks, task{
				job:      j,
				number:   uint32(len(j.tasks)),
				id:       durable.TaskID{Job: s.ID, Step: uint32(i), Index: k},
				step:     step,
				position: -1,
			})
		}
	}
	j.schedule(now)
	return j
}

// schedule works out by when each task should begin.
func (j *job) schedule(now time.Time) {
	chains := chainsAfter(j.sub.Steps)
	longest := time.Duration(0)
	for _, d := range chains {
		longest = max(longest, d)
	}
	j.longest = longest
	objective := time.Duration(j.sub.Queue.Stretch*float64(longest)) + time.Duration(j.sub.Queue.TargetMS)*time.Millisecond
	j.due = now.Add(objective)
	j.late = now.Add(lateX * objective)
	j.useless = now.Add(estimateX * lateX * objective)
	for i := range j.tasks {
		t := &j.tasks[i]
		t.due = j.due.Add(-chains[t.id.Step])
	}
}

// want is the order of the tasks that are on time: what is left of jobs that
// have begun first, in the order in which they came, then by the time halfway to
// the due time.
func (t *task) want() time.Time {
	if t.job.begun() {
		return t.job.received.Add(-begunFirst)
	}
	return t.job.received.Add(t.due.Sub(t.job.received) / 2)
}

// chainsAfter returns for each step the work from its start to the end of the
// job, along the longest chain.
func chainsAfter(steps []durable.Step) []time.Duration {
	chains := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		chains[i] += steps[i].Estimate()
		for _, d := range steps[i].DependsOn {
			chains[d] = max(chains[d], chains[i])
		}
	}
	return chains
}

// shown returns the state that callers may see: a final one only when the
// store has it.
func (j *job) shown() durable.State {
	switch {
	case j.durable.Final():
		return j.durable
	case j.begun():
		return durable.Running
	}
	return durable.Queued
}

// begun returns whether a task has run, or may run now. A job whose tasks were
// all handed back has not.
func (j *job) begun() bool { return j.ran || j.assigned > 0 }

// nextRun returns the number of the task's next run. Numbers of a later owner
// are above all that earlier ones used.
func (t *task) nextRun(epoch uint64) uint32 {
	const runsPerEpoch = 64
	t.starts++
	base := uint32(epoch-t.job.sub.Epoch) * runsPerEpoch
	if t.job.sub.BestEffort {
		base = wire.BestEffortRun
	}
	t.run = max(t.run+1, base+t.starts)
	return t.run
}

func (t *task) ref() wire.RunRef { return wire.RunRef{Task: t.id, Run: t.run} }

// progress returns the record of how far the job is.
func (j *job) progress() *durable.Progress {
	p := &durable.Progress{State: uint8(durable.Queued)}
	if j.state.Final() {
		p.State = uint8(j.state)
		return p
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskDone {
			p.Done = p.Done.With(i)
		}
		if len(t.failures) > 0 {
			p.Failures = append(p.Failures, durable.Failure{Task: t.number, Runs: t.failures})
		}
	}
	return p
}

// restore sets the job to what the store has of its progress.
func (j *job) restore(p *durable.Progress) {
	if p == nil {
		return
	}
	for i := range j.tasks {
		if p.Done.Has(i) {
			j.done(&j.tasks[i])
		}
	}
	for _, f := range p.Failures {
		if int(f.Task) < len(j.tasks) {
			j.tasks[f.Task].failures = f.Runs
		}
	}
}

// done marks a task as done; it may be called once for each.
func (j *job) done(t *task) {
	t.state = taskDone
	t.worker = nil
	j.ran = true
	j.left--
	j.stepLeft[t.id.Step]--
}

// open returns whether all that the step depends on is done.
func (j *job) open(step *durable.Step) bool {
	for _, d := range step.DependsOn {
		if j.stepLeft[d] > 0 {
			return false
		}
	}
	return true
}

// find returns the task, or nil.
func (j *job) find(id durable.TaskID) *task {
	if id.Repeat != 0 || int(id.Step) >= len(j.stepLeft) || j.sub == nil {
		return nil
	}
	number := id.Index
	for i := range id.Step {
		number += j.sub.Steps[i].Count
	}
	if int(number) >= len(j.tasks) || j.tasks[number].id != id {
		return nil
	}
	return &j.tasks[number]
}
