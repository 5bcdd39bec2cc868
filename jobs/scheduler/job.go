package scheduler

import (
	"cmp"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// job is one job: of a partition that we own, or best-effort.
type job struct {
	sub      *durable.Submission // nil once it is final
	id       durable.JobID
	state    durable.State // as decided
	stored   durable.State // as the store has it
	accepted bool          // the submission is in the store, or need not be
	ran      bool          // a task has run, or may have
	assigned int           // tasks that are with workers
	class    int           // its place among classes; 0 is the most urgent
	tasks    []task
	left     int   // tasks that are not done
	stepLeft []int // the same, by step

	received     time.Time
	sent         time.Time     // the earliest that its first call may have been sent
	criticalPath time.Duration // the longest chain of work
	due          time.Time     // its objective: an answer later than this is late
	uselessAt    time.Time     // after which an answer is worth nothing
	abandonAt    time.Time     // the same, if the work was much underestimated
	startBy      time.Time     // a best-effort job that has not begun by then is refused
	final        time.Time     // when it became final

	calls       []Call    // wait for the submission; of a best-effort job, for its end
	cancels     []Call    // wait for the cancel
	watchers    []watcher // wait a little for the end
	acks        []ack     // ends that may be acknowledged with the next progress
	dirty       bool      // progress is to be written
	reconciling bool      // workers are still to say whether they run tasks of it
}

// ack is an end that a worker is told to forget.
type ack struct {
	worker string
	ref    wire.RunRef
}

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
	j.schedule(now)
	return j
}

// uselessX is how many times its objective a job may take before its answer is
// of no use: the users count an answer as late up to then, and as nothing after.
const uselessX = 3

// underestimateX is how many times longer than estimated work may well take: a job that has
// begun is not abandoned before.
const underestimateX = 2

// schedule works out by when each task should begin.
func (j *job) schedule(now time.Time) {
	chains := chainsAfter(j.sub.Steps)
	longest := time.Duration(0)
	for _, d := range chains {
		longest = max(longest, d)
	}
	j.criticalPath = longest
	objective := time.Duration(j.sub.Queue.Stretch*float64(longest)) + time.Duration(j.sub.Queue.TargetMS)*time.Millisecond
	j.due = now.Add(objective)
	j.uselessAt = now.Add(uselessX * objective)
	j.abandonAt = now.Add(underestimateX * uselessX * objective)
	for i := range j.tasks {
		t := &j.tasks[i]
		t.due = j.due.Add(-chains[t.id.Step])
	}
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

// age returns how long ago the job came, in milliseconds.
func (j *job) age(now time.Time) int64 { return now.Sub(j.received).Milliseconds() }

// shown returns the state that callers may see: a final one only when the
// store has it.
func (j *job) shown() durable.State {
	switch {
	case j.stored.Final():
		return j.stored
	case j.begun():
		return durable.Running
	}
	return durable.Queued
}

// begun returns whether a task has run, or may run now. A job whose tasks were
// all handed back has not.
func (j *job) begun() bool { return j.ran || j.assigned > 0 }

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
		p.Crashes = append(p.Crashes, t.crashes...)
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
	for _, crash := range p.Crashes {
		if int(crash.Task) < len(j.tasks) {
			j.tasks[crash.Task].crashes.add(crash)
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

// dependenciesDone returns whether all that the step depends on is done.
func (j *job) dependenciesDone(step *durable.Step) bool {
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

// byID orders jobs by their IDs.
func byID(a, b *job) int { return cmp.Compare(a.id, b.id) }
