package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// worker is a worker as this coordinator knows it.
type worker struct {
	name       string // its address
	dataCentre string
	up         bool // connected
	preference Preference
	status     wire.WorkerStatus
	identity   wire.BackendIdentity
	heardAt    time.Time // when the newest status came
	upAt       time.Time // when the connection was made
	fullUntil  time.Time // it handed a task back: nothing that has to wait goes there before
	beatAt     time.Time // when the newest heartbeat was sent
	beatSeq    uint64    // of the newest heartbeat
	startSeq   uint64    // of the newest StartRuns
	assigned   map[*task]struct{}
	queried    []*task // asked about since the connection is new
	stats      runStats
}

// tasks returns the tasks that are with the worker, in their order.
func (w *worker) tasks() []*task {
	return ordered.KeysFunc(w.assigned, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.number, b.number))
	})
}

// byName orders workers by their names.
func byName(a, b *worker) int { return cmp.Compare(a.name, b.name) }

func insertByName(workers []*worker, w *worker) []*worker {
	at, _ := slices.BinarySearchFunc(workers, w, byName)
	return slices.Insert(workers, at, w)
}

// WorkerKnown tells the core of a worker that exists, reachable or not.
func (c *Core) WorkerKnown(now time.Time, name string) {
	if c.workers[name] != nil {
		return
	}
	w := &worker{name: name, assigned: make(map[*task]struct{}), stats: newRunStats()}
	c.workers[name] = w
	c.order = insertByName(c.order, w)
	c.eligible = insertByName(c.eligible, w)
	for _, p := range ordered.Values(c.partitions) {
		if _, asked := p.asked[name]; !asked && len(p.asked) > 0 {
			p.asked[name] = now.Add(c.cfg.WriteOff)
		}
	}
}

// Preference says whether new tasks go to a worker.
type Preference uint8

// The preferences.
const (
	Shared    Preference = iota // as other coordinators may: where there is more room
	Preferred                   // first of all: others prefer other workers, so that we know best what is free there
	Excluded                    // none; what it has goes on
)

// Prefer tells the core of its preference for a worker, which is Shared at
// first.
func (c *Core) Prefer(name string, p Preference) {
	w := c.workers[name]
	if w == nil || w.preference == p {
		return
	}
	if w.preference == Excluded {
		c.eligible = insertByName(c.eligible, w)
	}
	w.preference = p
	if p == Excluded {
		c.eligible = slices.DeleteFunc(c.eligible, func(o *worker) bool { return o == w })
	}
}

// Busy returns whether the worker has tasks of ours, or may have.
func (c *Core) Busy(name string) bool {
	w := c.workers[name]
	return w != nil && len(w.assigned) > 0
}

// Asking returns whether workers are still to tell what they have of a
// partition.
func (c *Core) Asking() bool {
	for _, p := range c.partitions {
		if len(p.asked) > 0 {
			return true
		}
	}
	return false
}

// WorkerUp tells the core of a new connection to a worker.
func (c *Core) WorkerUp(now time.Time, name, dataCentre string) {
	c.WorkerKnown(now, name)
	w := c.workers[name]
	w.up = true
	w.dataCentre = dataCentre
	w.status = wire.WorkerStatus{}
	w.identity = wire.BackendIdentity{}
	w.heardAt = now
	w.upAt = now
	w.startSeq, w.beatSeq = 0, 0
	for t := range w.assigned { // any order will do
		t.startSeq = 0 // ordered over an earlier connection
	}
	c.note(Note{What: WorkerUp, Worker: name})
}

// WorkerDown tells the core that the connection is lost. What the worker had
// may still run until it is back or its leases are over.
func (c *Core) WorkerDown(_ time.Time, name string) {
	w := c.workers[name]
	if w == nil || !w.up {
		return
	}
	w.up = false
	w.status.Ready = false
	c.note(Note{What: WorkerDown, Worker: name, Measure: RunsThere, Value: int64(len(w.assigned))})
}

// handBackPause is how long nothing that would have to wait is sent to a worker
// that handed a task back. Chosen, not measured; it covers a status on its way.
const handBackPause = 15 * time.Millisecond

// Status takes a worker's status.
func (c *Core) Status(now time.Time, name string, m *wire.WorkerStatus) {
	w := c.workers[name]
	if w == nil || !w.up {
		return
	}
	first := w.status.Stamp == 0
	if m.Identity != nil {
		if m.Identity.Instance != w.identity.Instance && !first {
			w.stats = newRunStats()
		}
		w.identity = *m.Identity
	}
	w.status = *m
	w.heardAt = now
	if len(m.Fenced) > 0 {
		c.effects.Fenced = true
	}
	if first {
		c.heartbeat(now, w)
		c.queryRuns(w)
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
			c.note(Note{What: WorkerSilent, Worker: w.name, Measure: SilentMS, Value: now.Sub(w.heardAt).Milliseconds()})
			c.effects.Reconnect = append(c.effects.Reconnect, w.name)
			c.WorkerDown(now, w.name)
		}
		if w.up && now.Sub(w.beatAt) >= c.cfg.Heartbeat {
			c.heartbeat(now, w)
		}
		if !w.up && len(w.assigned) > 0 {
			c.writeOff(now, w)
		}
	}
}

// lost frees a task whose run has certainly ended, or never began, without a word
// of how: it is ordered again.
func (c *Core) lost(now time.Time, t *task, what Decision) {
	c.note(Note{What: what, Task: t.id.String(), Run: t.run, Worker: t.worker.name})
	c.setBegun(now, t.job, t.job.assigned, true)
	c.unassign(now, t)
	c.enqueue(now, t)
}

// writeOff frees the tasks of a worker whose leases are over.
func (c *Core) writeOff(now time.Time, w *worker) {
	silent := now.Sub(w.beatAt)
	for _, t := range w.tasks() {
		after := c.cfg.WriteOff
		if t.job.sub.BestEffort {
			after = c.cfg.BestEffortWriteOff
		}
		if silent > after {
			c.lost(now, t, RunWrittenOff)
		}
	}
}

// Runs takes all that a worker knows of a partition, or of the best-effort runs
// that we asked about.
func (c *Core) Runs(now time.Time, name string, m *wire.PartitionRuns) {
	w := c.workers[name]
	if w != nil && m.Partition == wire.BestEffortRuns {
		c.queryAnswered(now, w, m)
		return
	}
	p := c.partitions[m.Partition]
	if w == nil || p == nil || p.epoch != m.Epoch {
		return
	}
	known := make(map[wire.RunRef]bool, len(m.Running))
	for _, ref := range m.Running {
		known[ref] = true
		c.found(now, w, p, ref)
	}
	for _, e := range m.Ended {
		known[e.Ref] = true
		c.end(now, w, &e)
	}
	for _, t := range w.tasks() {
		if t.startSeq > m.StartSeq {
			continue // ordered after the worker wrote this
		}
		if !t.job.sub.BestEffort && t.id.Job.Partition(c.cfg.Partitions) == m.Partition && !known[t.ref()] {
			c.lost(now, t, RunAbsent)
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
		c.note(Note{What: RunTakenOver, Task: t.id.String(), Run: t.run, Worker: w.name})
	}
}

// SendFailed tells the core that a message could not be sent to the worker.
func (c *Core) SendFailed(now time.Time, name string) {
	c.effects.Reconnect = append(c.effects.Reconnect, name)
	c.WorkerDown(now, name)
}
