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
	name         string // its address
	dataCentre   string
	up           bool // connected
	preference   Preference
	status       wire.WorkerStatus
	identity     wire.BackendIdentity
	statusAt     time.Time // when the newest status came
	upAt         time.Time // when the connection was made
	heartbeatAt  time.Time // when the newest heartbeat was sent
	heartbeatSeq uint64    // of the newest heartbeat
	confirmed    bool      // a heartbeat over this connection was wire.OwnerHeartbeat.Confirmed
	startSeq     uint64    // of the newest StartRuns
	assigned     map[*task]struct{}
	queried      []queriedRun // asked about since the connection is new
	outlier      bool         // its runs are slow or fail, by its status
	probedAt     time.Time    // when it last got a task as an outlier
	request      capacityRequest
	speed        knownSpeed // the last that was heard of a life
	// speedIgnored has the worker taken to be as fast as any other.
	speedIgnored bool
}

// queriedRun is a run that a worker was asked about. By the time of the answer its task may
// have a later run there, of which the answer knows nothing.
type queriedRun struct {
	task *task
	ref  wire.RunRef
}

// tasks returns the tasks that are with the worker, in their order.
func (w *worker) tasks() []*task {
	return ordered.KeysFunc(w.assigned, byTask)
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
	w := &worker{name: name, assigned: make(map[*task]struct{}), speedIgnored: !c.cfg.Load.PlaceBySpeed}
	c.workers[name] = w
	c.order = insertByName(c.order, w)
	c.updateEligible(w)
	for _, p := range ordered.Values(c.partitions) {
		if _, asked := p.asked[name]; !asked && len(p.asked) > 0 {
			p.asked[name] = now.Add(c.cfg.WriteOff)
		}
	}
}

// WorkerUp tells the core of a new connection to a worker.
func (c *Core) WorkerUp(now time.Time, name, dataCentre string) {
	c.WorkerKnown(now, name)
	w := c.workers[name]
	w.up = true
	w.dataCentre = dataCentre
	c.updateEligible(w)
	w.status = wire.WorkerStatus{}
	w.identity = wire.BackendIdentity{}
	w.statusAt = now
	w.upAt = now
	w.startSeq, w.heartbeatSeq = 0, 0
	w.confirmed = false
	w.request = capacityRequest{}
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

// Status takes a worker's status.
func (c *Core) Status(now time.Time, name string, m *wire.WorkerStatus) {
	w := c.workers[name]
	if w == nil || !w.up {
		return
	}
	first := w.status.Stamp == 0
	newLife := m.Identity != nil && m.Identity.Instance != w.identity.Instance
	if m.Identity != nil {
		w.identity = *m.Identity
	}
	w.status = *m
	w.rememberSpeed()
	w.statusAt = now
	if newLife {
		w.request.active, w.request.reported = false, false
	}
	c.noteFreeCapacity(w)
	for _, number := range m.Fenced {
		c.fenced(now, number)
	}
	if first {
		c.heartbeat(now, w)
		c.queryRuns(w)
		c.effects.Confirm = c.effects.Confirm || len(c.partitions) > 0
	}
}

// heartbeat renews our leases at the worker.
func (c *Core) heartbeat(now time.Time, w *worker) {
	if !w.up || w.status.Stamp == 0 {
		return
	}
	w.heartbeatSeq++
	w.heartbeatAt = now
	w.confirmed = w.confirmed || !c.confirmedAt.Before(w.upAt)
	c.send(w.name, &wire.OwnerHeartbeat{Seq: w.heartbeatSeq, Echo: w.status.Stamp, Partitions: c.Partitions(), Confirmed: w.confirmed, Evacuations: c.evacuationsMessage(now)})
}

// tickWorkers sends heartbeats, gives up silent connections, and writes off what
// workers had that cannot be reached.
func (c *Core) tickWorkers(now time.Time) {
	for _, w := range c.order {
		if w.up && now.Sub(w.statusAt) > c.cfg.Suspect {
			c.note(Note{What: WorkerSilent, Worker: w.name, Measure: SilentMS, Value: now.Sub(w.statusAt).Milliseconds()})
			c.effects.Reconnect = append(c.effects.Reconnect, w.name)
			c.WorkerDown(now, w.name)
		}
		if w.up && now.Sub(w.heartbeatAt) >= c.cfg.Heartbeat {
			c.heartbeat(now, w)
		}
		if !w.up && len(w.assigned) > 0 {
			c.writeOff(now, w)
		}
	}
}

// Busy returns whether the worker has tasks of ours, or may have.
func (c *Core) Busy(name string) bool {
	w := c.workers[name]
	return w != nil && len(w.assigned) > 0
}

// SendFailed tells the core that a message could not be sent to the worker.
func (c *Core) SendFailed(now time.Time, name string) {
	c.effects.Reconnect = append(c.effects.Reconnect, name)
	c.WorkerDown(now, name)
}
