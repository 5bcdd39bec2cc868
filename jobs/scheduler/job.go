package scheduler

import (
	"cmp"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// job is one job: a durable one of a partition that this coordinator owns, or a best-effort one.
type job struct {
	sub      *durable.Submission // nil once the final state is stored
	id       durable.JobID
	state    durable.State // as decided here; callers see stored
	stored   durable.State // as it is in the store
	accepted bool          // the submission is in the store, or need not be
	ran      bool          // a task has run, or may have
	assigned int           // number of tasks that are with workers
	class    int           // priority class; 0 is the most urgent
	tasks    []task
	left     int   // number of tasks that are not done
	stepLeft []int // number of tasks that are not done, by step

	received     time.Time
	sent         time.Time     // earliest time at which the caller may first have sent it
	criticalPath time.Duration // total estimate of the longest chain of dependent steps
	due          time.Time     // an answer after it is late
	uselessAt    time.Time     // an answer after it is of no use
	abandonAt    time.Time     // a started job is cancelled after it; allows for underestimated work
	startBy      time.Time     // a best-effort job that has not begun by then is refused
	final        time.Time     // when the final state was stored, or read by a new owner

	calls       []Call    // wait for the submission to be stored; of a best-effort job, for its end
	cancels     []Call    // wait for the cancellation to be stored
	watchers    []watcher // State calls that wait for the end
	acks        []ack     // ends to acknowledge once the next progress is stored
	dirty       bool      // in partition.changed
	reconciling bool      // of an earlier owner: workers still have to report whether they run its tasks
}

// ack is the end of a run that is to be acknowledged to a worker.
type ack struct {
	worker string
	ref    wire.RunRef
}

// newJob returns a job that arrives now, with all tasks blocked.
func (c *Core) newJob(s *durable.Submission, now time.Time) *job {
	j := &job{sub: s, id: s.ID, received: now, sent: now, class: c.cfg.Load.class(s.Queue.Priority), left: s.Tasks(), stepLeft: make([]int, len(s.Steps))}
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
	j.setDueTimes(now)
	return j
}

// uselessFactor is how many times its objective a job may take until its answer is of no use. The
// users count an answer as late up to then, and as none after.
const uselessFactor = 3

// underestimateFactor is how many times longer than uselessFactor allows a started job may take
// until it is cancelled, in case its work was underestimated.
const underestimateFactor = 2

// setDueTimes sets the job's deadlines, and by when each task has to begin for the job to be on time.
func (j *job) setDueTimes(now time.Time) {
	chains := chainsAfter(j.sub.Steps)
	longest := time.Duration(0)
	for _, d := range chains {
		longest = max(longest, d)
	}
	j.criticalPath = longest
	objective := time.Duration(j.sub.Queue.Stretch*float64(longest)) + time.Duration(j.sub.Queue.TargetMS)*time.Millisecond
	j.due = now.Add(objective)
	j.uselessAt = now.Add(uselessFactor * objective)
	j.abandonAt = now.Add(underestimateFactor * uselessFactor * objective)
	for i := range j.tasks {
		t := &j.tasks[i]
		t.due = j.due.Add(-chains[t.id.Step])
	}
}

// chainsAfter returns for each step the total estimate of the longest chain of dependent steps
// that starts with it.
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

// age returns how long ago the job arrived, in milliseconds.
func (j *job) age(now time.Time) int64 { return now.Sub(j.received).Milliseconds() }

// visibleState returns the state to show to callers: a final one only once it is in the store.
func (j *job) visibleState() durable.State {
	switch {
	case j.stored.Final():
		return j.stored
	case j.begun():
		return durable.Running
	}
	return durable.Queued
}

// begun returns whether a task has run, or may be running. A job whose tasks were all handed
// back before they ran has not begun.
func (j *job) begun() bool { return j.ran || j.assigned > 0 }

// progress returns the job's progress record: of a final job the state alone.
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
		p.Crashes = append(p.Crashes, t.crashes...)
	}
	return p
}

// restore sets the job's tasks by its stored progress, which may be nil.
func (j *job) restore(p *durable.Progress) {
	if p == nil {
		return
	}
	for i := range j.tasks {
		if p.Done.Has(i) {
			j.markDone(&j.tasks[i])
		}
	}
	for _, f := range p.Failures {
		if int(f.Task) < len(j.tasks) {
			j.tasks[f.Task].failures = f.Runs
		}
	}
	for _, crash := range p.Crashes {
		if int(crash.Task) < len(j.tasks) {
			j.tasks[crash.Task].crashes.add(crash)
		}
	}
}

// markDone marks a task as done. It may be called only once for each task.
func (j *job) markDone(t *task) {
	t.state = taskDone
	t.worker = nil
	j.ran = true
	j.left--
	j.stepLeft[t.id.Step]--
}

// dependenciesDone returns whether all steps that the step depends on are done.
func (j *job) dependenciesDone(step *durable.Step) bool {
	for _, d := range step.DependsOn {
		if j.stepLeft[d] > 0 {
			return false
		}
	}
	return true
}

// find returns the job's task with the ID, or nil if there is none or the job is final.
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

// byID orders jobs by their IDs.
func byID(a, b *job) int { return cmp.Compare(a.id, b.id) }
