package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// worker is this coordinator's view of a worker.
type worker struct {
	name         string // address
	dataCentre   string
	up           bool // whether it is connected
	preference   Preference
	status       wire.WorkerStatus
	identity     wire.BackendIdentity
	statusAt     time.Time // when the latest status was received
	upAt         time.Time // when the connection was established
	heartbeatAt  time.Time // when the latest heartbeat was sent
	heartbeatSeq uint64    // of the latest heartbeat
	confirmed    bool      // a heartbeat over this connection had wire.OwnerHeartbeat.Confirmed
	startSeq     uint64    // of the latest StartRuns
	assigned     map[*task]struct{}
	queried      []queriedRun // listed in the RunsQuery that has no reply yet
	outlier      bool         // its runs are slow or fail, as it reports; it gets only probes
	probedAt     time.Time    // when an outlier was last sent a task
	orderedAt    time.Time    // when a run was last ordered there
	request      capacityRequest
	speed        knownSpeed // last reported baseline of a backend server's incarnation
	// speedIgnored makes the worker count as being as fast as any other.
	speedIgnored bool
}

// queriedRun is a run that a RunsQuery listed. By the time of the reply its task may have a later
// run at the worker, which the reply does not cover.
type queriedRun struct {
	task *task
	ref  wire.RunRef
}

// tasks returns the tasks that are assigned to the worker, ordered by byTask.
func (w *worker) tasks() []*task {
	return ordered.KeysFunc(w.assigned, byTask)
}

// byName orders workers by name.
func byName(a, b *worker) int { return cmp.Compare(a.name, b.name) }

// insertByName inserts a worker into a list ordered by name.
func insertByName(workers []*worker, w *worker) []*worker {
	at, _ := slices.BinarySearchFunc(workers, w, byName)
	return slices.Insert(workers, at, w)
}

// WorkerKnown adds a worker that exists, whether it can be reached or not. Partitions that wait
// for reports of other workers wait for its report too.
func (c *Core) WorkerKnown(now time.Time, name string) {
	if c.workers[name] != nil {
		return
	}
	w := &worker{name: name, assigned: make(map[*task]struct{}), speedIgnored: !c.cfg.Load.PlaceBySpeed}
	c.workers[name] = w
	c.allWorkers = insertByName(c.allWorkers, w)
	c.updateEligible(w)
	for _, p := range ordered.Values(c.partitions) {
		if _, asked := p.awaiting[name]; !asked && len(p.awaiting) > 0 {
			p.awaiting[name] = &awaited{since: now}
		}
	}
}

// WorkerUp records a new connection to a worker, and drops the state of an earlier connection. Its
// assigned tasks stay.
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

// WorkerDown records that the connection to a worker is lost. Its runs may go on: they stay
// assigned until the worker is connected again and reports them, or their leases have expired.
func (c *Core) WorkerDown(_ time.Time, name string) {
	w := c.workers[name]
	if w == nil || !w.up {
		return
	}
	w.up = false
	w.status.Ready = false
	c.note(Note{What: WorkerDown, Worker: name, Measure: RunsThere, Value: int64(len(w.assigned))})
}

// Status handles a worker's status. The first one over a connection is answered with a heartbeat
// and a query for the runs that were ordered over earlier connections. If this coordinator owns
// partitions, the first one also sets Effects.Confirm.
func (c *Core) Status(now time.Time, name string, m *wire.WorkerStatus) {
	w := c.workers[name]
	if w == nil || !w.up {
		return
	}
	first := w.status.Stamp == 0
	newIncarnation := m.Identity != nil && m.Identity.Instance != w.identity.Instance
	if m.Identity != nil {
		w.identity = *m.Identity
	}
	answersAgain := m.Ready && !w.status.Ready
	w.status = *m
	if answersAgain {
		c.incarnationAnswers(w.identity.Instance)
	}
	w.rememberSpeed()
	w.statusAt = now
	if newIncarnation {
		w.request.active, w.request.reported = false, false
	}
	c.noteFreeCapacity(w)
	for _, number := range m.Fenced {
		c.partitionFenced(now, number)
	}
	if first {
		c.heartbeat(now, w)
		c.queryRuns(w)
		c.effects.Confirm = c.effects.Confirm || len(c.partitions) > 0
	}
}

// heartbeat sends a heartbeat, which renews our leases at the worker. It does nothing before the
// first status over a connection.
func (c *Core) heartbeat(now time.Time, w *worker) {
	if !w.up || w.status.Stamp == 0 {
		return
	}
	w.heartbeatSeq++
	w.heartbeatAt = now
	w.confirmed = w.confirmed || !c.confirmedAt.Before(w.upAt)
	c.send(w.name, &wire.OwnerHeartbeat{Seq: w.heartbeatSeq, Echo: w.status.Stamp, Partitions: c.Partitions(), Confirmed: w.confirmed, Evacuations: c.evacuationsMessage(now)})
}

// tickWorkers sends the heartbeats that are due, gives up connections to workers that have sent
// no status for too long, and writes off expired runs of workers that are not connected.
func (c *Core) tickWorkers(now time.Time) {
	for _, w := range c.allWorkers {
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

// Busy returns whether tasks of this coordinator are, or may be, with the worker.
func (c *Core) Busy(name string) bool {
	w := c.workers[name]
	return w != nil && len(w.assigned) > 0
}

// SendFailed records that a message to the worker could not be sent. The worker counts as down
// until its connection has been made anew.
func (c *Core) SendFailed(now time.Time, name string) {
	c.effects.Reconnect = append(c.effects.Reconnect, name)
	c.WorkerDown(now, name)
}
