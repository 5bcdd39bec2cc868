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
	up         bool
	preference Preference
	status     wire.WorkerStatus
	identity   wire.BackendIdentity
	heardAt    time.Time // when the newest status came
	upAt       time.Time // when the connection was made
	fullUntil  time.Time // it had no room for what we thought would fit or wait there
	beatAt     time.Time // when the newest heartbeat was sent
	beatSeq    uint64
	startSeq   uint64
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

// fullPause is how long nothing that would have to wait is sent to a worker that
// handed a task back.
const fullPause = 15 * time.Millisecond

// WorkerKnown tells the core of a worker that exists, reachable or not.
func (c *Core) WorkerKnown(now time.Time, name string) {
	if c.workers[name] != nil {
		return
	}
	w := &worker{name: name, assigned: make(map[*task]struct{}), judge: judge{slowness: 1}}
	c.workers[name] = w
	c.order = insertByName(c.order, w)
	c.chosen = insertByName(c.chosen, w)
	for _, p := range ordered.Values(c.partitions) {
		if _, asked := p.asked[name]; !asked && len(p.asked) > 0 {
			p.asked[name] = now.Add(c.cfg.Doubt)
		}
	}
}

func insertByName(workers []*worker, w *worker) []*worker {
	at, _ := slices.BinarySearchFunc(workers, w, byName)
	return slices.Insert(workers, at, w)
}

// Preference says whether new tasks go to a worker.
type Preference uint8

// The preferences.
const (
	Shared     Preference = iota // where there is more room, as for other coordinators
	Home                         // first of all: others prefer other workers, so that we know what is free there
	PassedOver                   // none; what it has goes on
)

// Prefer tells the core of its preference for a worker, which is Shared at
// first.
func (c *Core) Prefer(name string, p Preference) {
	w := c.workers[name]
	if w == nil || w.preference == p {
		return
	}
	if w.preference == PassedOver {
		c.chosen = insertByName(c.chosen, w)
	}
	w.preference = p
	if p == PassedOver {
		c.chosen = slices.DeleteFunc(c.chosen, func(o *worker) bool { return o == w })
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
	if m.Identity != nil {
		if m.Identity.Instance != w.identity.Instance && !first {
			w.judge = judge{slowness: 1}
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
		if !w.up && len(w.assigned) > 0 {
			c.writeOff(now, w)
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
		c.mark(now, t.job, t.job.assigned, true)
		c.unassign(now, t)
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
			c.mark(now, t.job, t.job.assigned, true)
			c.unassign(now, t)
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

// SendFailed tells the core that a message could not be sent to the worker.
func (c *Core) SendFailed(now time.Time, name string) {
	c.effects.Close = append(c.effects.Close, name)
	c.WorkerDown(now, name)
}
