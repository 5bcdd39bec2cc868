package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/durable"
	"github.com/lichenfall/lichenfall/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// worker is a worker as this coordinator knows it.
type worker struct {
	name       string // its address
	dataCentre string
	up         bool
	status     wire.WorkerStatus
	heardAt    time.Time // when the newest status came
	upAt       time.Time // when the connection was made
	fullUntil  time.Time // it had no room for what we thought would fit or wait there
	beatAt     time.Time // when the newest heartbeat was sent
	beatSeq    uint64
	startSeq   uint64
	told       map[uint32]uint64 // partitions whose runs it has told us, by epoch
	assigned   map[*task]struct{}
	claimed    []*task // asked for since the connection is new
	judge      judge
}

// tasks returns the tasks that are with the worker, in their order.
func (w *worker) tasks() []*task {
	return ordered.KeysFunc(w.assigned, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.number, b.number))
	})
}

// byName orders workers by their names.
func byName(a, b *worker) int { return cmp.Compare(a.name, b.name) }

// byID orders jobs by their IDs.
func byID(a, b *job) int { return cmp.Compare(a.id, b.id) }

// judge compares what a worker's runs took with what they should.
type judge struct {
	slowness float64 // smoothed: time of a run over its estimate
	failing  float64 // smoothed: share of runs that failed
	probedAt time.Time
}

// fullPause is how long nothing that would have to wait is sent to a worker that
// handed a task back.
const fullPause = 15 * time.Millisecond

// smoothing is the weight of one more run.
const smoothing = 0.2

func (j *judge) ran(slowness float64) {
	j.slowness += smoothing * (slowness - j.slowness)
	j.failing -= smoothing * j.failing
}

func (j *judge) failed() { j.failing += smoothing * (1 - j.failing) }

// WorkerKnown tells the core of a worker that exists, reachable or not.
func (c *Core) WorkerKnown(now time.Time, name string) {
	if c.workers[name] != nil {
		return
	}
	w := &worker{name: name, assigned: make(map[*task]struct{}), told: make(map[uint32]uint64), judge: judge{slowness: 1}}
	c.workers[name] = w
	at, _ := slices.BinarySearchFunc(c.order, name, func(w *worker, name string) int { return cmp.Compare(w.name, name) })
	c.order = slices.Insert(c.order, at, w)
	for _, p := range ordered.Values(c.partitions) {
		if _, asked := p.asked[name]; !asked && c.hasDoubt(p) {
			p.asked[name] = now.Add(c.cfg.Doubt)
		}
	}
}

func (c *Core) hasDoubt(p *partition) bool { return len(p.asked) > 0 }

// WorkerGone tells the core that a worker is no longer in the system.
func (c *Core) WorkerGone(now time.Time, name string) {
	c.WorkerDown(now, name)
}

// WorkerUp tells the core of a new connection to a worker.
func (c *Core) WorkerUp(now time.Time, name, dataCentre string) {
	c.WorkerKnown(now, name)
	w := c.workers[name]
	w.up = true
	w.dataCentre = dataCentre
	w.status = wire.WorkerStatus{}
	w.heardAt = now
	w.upAt = now
	w.startSeq, w.beatSeq = 0, 0
	w.told = make(map[uint32]uint64)
	for t := range w.assigned { // any order will do
		t.startSeq = 0 // ordered over an earlier connection
	}
	c.note(Note{What: "worker_up", Worker: name})
}

// WorkerDown tells the core that the connection is lost. What the worker had
// is in doubt until it is back or its leases are over.
func (c *Core) WorkerDown(_ time.Time, name string) {
	w := c.workers[name]
	if w == nil || !w.up {
		return
	}
	w.up = false
	w.status.Ready = false
	c.note(Note{What: "worker_down", Worker: name, Number: int64(len(w.assigned))})
}

// Status takes a worker's status.
func (c *Core) Status(now time.Time, name string, m *wire.WorkerStatus) {
	w := c.workers[name]
	if w == nil || !w.up {
		return
	}
	first := w.status.Stamp == 0
	if m.Instance != w.status.Instance && !first {
		w.judge = judge{slowness: 1}
	}
	w.status = *m
	w.heardAt = now
	if len(m.Fenced) > 0 {
		c.effects.Fenced = true
	}
	if first {
		c.heartbeat(now, w)
		c.claimRuns(w)
	}
}

// heartbeat renews our leases at the worker.
func (c *Core) heartbeat(now time.Time, w *worker) {
	if !w.up || w.status.Stamp == 0 {
		return
	}
	w.beatSeq++
	w.beatAt = now
	c.send(w.name, &wire.OwnerHeartbeat{Seq: w.beatSeq, Echo: w.status.Stamp, Partitions: c.Partitions()})
}

// tickWorkers sends heartbeats, gives up silent connections, and ends what
// silent workers had once it is dead.
func (c *Core) tickWorkers(now time.Time) {
	for _, w := range c.order {
		if w.up && now.Sub(w.heardAt) > c.cfg.Suspect {
			c.note(Note{What: "worker_silent", Worker: w.name, Number: now.Sub(w.heardAt).Milliseconds()})
			c.effects.Close = append(c.effects.Close, w.name)
			c.WorkerDown(now, w.name)
		}
		if w.up && now.Sub(w.beatAt) >= c.cfg.Heartbeat {
			c.heartbeat(now, w)
		}
		if !w.up {
			c.writeOff(now, w)
		}
		if w.up {
			c.stopStragglers(now, w)
		}
	}
}

// writeOff frees the tasks of a worker whose leases are over.
func (c *Core) writeOff(now time.Time, w *worker) {
	silent := now.Sub(w.beatAt)
	for _, t := range w.tasks() {
		doubt := c.cfg.Doubt
		if t.job.sub.BestEffort {
			doubt = c.cfg.BestEffortDoubt
		}
		if silent <= doubt {
			continue
		}
		c.note(Note{What: "run_written_off", Task: t.id.String(), Run: t.run, Worker: w.name})
		c.unassign(t)
		c.enqueue(now, t)
	}
}

// Runs takes all that a worker knows of a partition.
func (c *Core) Runs(now time.Time, name string, m *wire.PartitionRuns) {
	w := c.workers[name]
	if w != nil && m.Partition == wire.BestEffortRuns {
		c.claimsAnswered(now, w, m)
		return
	}
	p := c.partitions[m.Partition]
	if w == nil || p == nil || p.epoch != m.Epoch {
		return
	}
	w.told[m.Partition] = m.Epoch
	here := make(map[wire.RunRef]bool, len(m.Running))
	for _, ref := range m.Running {
		here[ref] = true
		c.found(now, w, p, ref)
	}
	for _, e := range m.Ended {
		here[e.Ref] = true
		c.end(now, w, &e)
	}
	for _, t := range w.tasks() {
		if t.startSeq > m.StartSeq {
			continue // ordered after the worker wrote this
		}
		if !t.job.sub.BestEffort && t.id.Job.Partition(c.cfg.Partitions) == m.Partition && !here[t.ref()] {
			c.note(Note{What: "run_absent", Task: t.id.String(), Run: t.run, Worker: name})
			c.unassign(t)
			c.enqueue(now, t)
		}
	}
	delete(p.asked, name)
	if len(p.asked) == 0 {
		c.settle(now, p)
	}
}

// found takes a run that a worker has: that of an earlier owner is taken over,
// one that is not wanted is stopped.
func (c *Core) found(now time.Time, w *worker, p *partition, ref wire.RunRef) {
	j := p.jobs[ref.Task.Job]
	if j == nil || j.state.Final() {
		c.send(w.name, &wire.StopRuns{Runs: []wire.RunRef{ref}})
		return
	}
	t := j.find(ref.Task)
	switch {
	case t == nil || t.state == taskDone:
		c.send(w.name, &wire.StopRuns{Runs: []wire.RunRef{ref}})
	case t.state == taskAssigned && t.worker == w && t.run == ref.Run:
	case t.state == taskAssigned:
		c.send(w.name, &wire.StopRuns{Runs: []wire.RunRef{ref}})
	default:
		c.unqueue(t)
		t.run = ref.Run
		c.assign(now, t, w)
		c.note(Note{What: "run_taken_over", Task: t.id.String(), Run: t.run, Worker: w.name})
	}
}

// Ends takes ends of runs.
func (c *Core) Ends(now time.Time, name string, m *wire.RunEnds) {
	w := c.workers[name]
	if w == nil {
		return
	}
	for i := range m.Ends {
		c.end(now, w, &m.Ends[i])
	}
}

func (c *Core) end(now time.Time, w *worker, e *wire.RunEnd) {
	j := c.find(e.Ref.Task.Job)
	if j == nil || j.state.Final() {
		c.endOfFinal(now, w, j, e)
		return
	}
	t := j.find(e.Ref.Task)
	if t == nil {
		c.sendKept([]ack{{w.name, e.Ref}})
		return
	}
	if t.state == taskDone {
		c.ackWithProgress(now, w, t, e) // told again: the store may not have it yet
		return
	}
	if t.state == taskAssigned && (t.worker != w || t.run != e.Ref.Run) {
		c.earlierEnd(now, w, t, e)
		return
	}
	c.unqueue(t)
	c.unassign(t)
	t.run = max(t.run, e.Ref.Run)
	c.apply(now, w, t, e)
}

// earlierEnd takes the end of a run before the present one. One that failed
// counts, if an earlier owner heard of it and did not keep it; any other was
// told too late to matter: the worker has let its lease lapse since.
func (c *Core) earlierEnd(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	if wire.End(e.How) != wire.EndFailed || t.job.sub.BestEffort {
		c.sendKept([]ack{{w.name, e.Ref}})
		return
	}
	c.ackWithProgress(now, w, t, e)
	if t.failed(e.Ref.Run) >= t.job.sub.Queue.MaxAttempts {
		c.finish(now, t.job, durable.Failed, "attempts_spent")
	}
}

// ackWithProgress acknowledges an end once the job's progress is in the store.
func (c *Core) ackWithProgress(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	if t.job.sub.BestEffort {
		return
	}
	t.job.acks = append(t.job.acks, ack{w.name, e.Ref})
	c.change(now.Add(c.cfg.LazyCommit), t.job)
}

// failed notes a failed run and returns how many there have been.
func (t *task) failed(run uint32) uint32 {
	if !slices.Contains(t.failures, run) {
		t.failures = append(t.failures, run)
	}
	return uint32(len(t.failures))
}

// endOfFinal acknowledges an end that no longer matters; not before the final
// state is in the store.
func (c *Core) endOfFinal(now time.Time, w *worker, j *job, e *wire.RunEnd) {
	p := c.partitions[e.Ref.Task.Job.Partition(c.cfg.Partitions)]
	if p == nil {
		return
	}
	if j == nil || j.durable.Final() {
		c.sendKept([]ack{{w.name, e.Ref}})
		return
	}
	j.acks = append(j.acks, ack{w.name, e.Ref})
	p.change(now, j)
}

// apply decides what an end means for its task.
func (c *Core) apply(now time.Time, w *worker, t *task, e *wire.RunEnd) {
	how := wire.End(e.How)
	j := t.job
	c.note(Note{What: "run_ended", Task: t.id.String(), Run: t.run, Worker: w.name, Reason: how.String() + " " + e.Reason, Number: e.RunMS, Usual: how == wire.EndDone})
	if e.Checkpoint != "" {
		t.check = e.Checkpoint
	}
	switch how {
	case wire.EndDone:
		w.judge.ran(slowness(t, e.RunMS))
		c.taskDone(now, t)
	case wire.EndFailed:
		w.judge.failed()
		t.avoid = append(t.avoid, w.name)
		if t.failed(e.Ref.Run) >= j.sub.Queue.MaxAttempts {
			c.finish(now, j, durable.Failed, "attempts_spent")
		} else {
			c.enqueue(now, t)
		}
	default:
		if how == wire.EndNotRun {
			w.fullUntil = now.Add(fullPause)
		}
		c.enqueue(now, t)
	}
	if j.sub.BestEffort || how == wire.EndNotRun || how == wire.EndLost {
		return // there is nothing to keep, or the backend server does not list it
	}
	j.acks = append(j.acks, ack{w.name, e.Ref})
	by := now.Add(c.cfg.LazyCommit)
	if j.state.Final() {
		by = now
	}
	c.change(by, j)
}

// change notes that a kept job's progress is to be written.
func (c *Core) change(by time.Time, j *job) {
	if p := c.partitions[j.id.Partition(c.cfg.Partitions)]; p != nil {
		p.change(by, j)
	}
}

func slowness(t *task, runMS int64) float64 {
	if t.step.EstimateMS <= 0 || runMS <= 0 {
		return 1
	}
	return float64(runMS) / float64(t.step.EstimateMS)
}

func (c *Core) taskDone(now time.Time, t *task) {
	j := t.job
	j.done(t)
	if j.left == 0 {
		c.finish(now, j, durable.Completed, "all_done")
		return
	}
	if j.stepLeft[t.id.Step] == 0 {
		c.release(now, j)
	}
}

// finish brings a job to a final state. Callers see it when it is in the store.
func (c *Core) finish(now time.Time, j *job, state durable.State, reason string) {
	j.state = state
	c.active--
	c.note(Note{What: "job_" + state.String(), Job: j.id, Reason: reason, Number: now.Sub(j.received).Milliseconds(), Usual: state == durable.Completed})
	for i := range j.tasks {
		t := &j.tasks[i]
		c.unqueue(t)
		if t.state == taskAssigned {
			c.stop(t)
			c.unassign(t)
		}
	}
	if j.sub.BestEffort {
		c.answerBestEffort(j)
		return
	}
	c.change(now, j)
}

func (c *Core) stop(t *task) {
	if t.worker.up {
		c.send(t.worker.name, &wire.StopRuns{Runs: []wire.RunRef{t.ref()}})
	}
}

// stopStragglers stops runs that take far longer than they should, so that
// they can be started elsewhere.
func (c *Core) stopStragglers(now time.Time, w *worker) {
	for _, t := range w.tasks() {
		if t.step.EstimateMS <= 0 {
			continue
		}
		x := c.cfg.StragglerX * float64(int(1)<<min(t.patience, maxPatience))
		limit := time.Duration(x*float64(t.step.Estimate())) + c.cfg.StragglerMin
		if now.Sub(t.sentAt) < limit {
			continue
		}
		c.note(Note{What: "straggler_stopped", Task: t.id.String(), Run: t.run, Worker: w.name, Number: now.Sub(t.sentAt).Milliseconds()})
		t.patience++
		t.sentAt = now
		t.avoid = append(t.avoid, w.name)
		w.judge.ran(x)
		c.stop(t)
	}
}

const maxPatience = 6

// SendFailed tells the core that a message could not be sent to the worker.
func (c *Core) SendFailed(now time.Time, name string) {
	c.effects.Close = append(c.effects.Close, name)
	c.WorkerDown(now, name)
}

// avoids returns whether the task should not run on the worker again.
func (t *task) avoids(w *worker) bool { return slices.Contains(t.avoid, w.name) }
