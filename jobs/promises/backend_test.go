package promises

import (
	"cmp"
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// backendNode is a stand-in backend server: runs under a lease on a clock of
// its own, which may run slow.
type backendNode struct {
	w           *world
	incarnation int
	up          bool
	born        time.Time
	slowness    float64 // the clock runs so much slow, such as 0.02
	token       uint64
	deadline    time.Duration // of the lease, on its clock
	running     map[wire.RunRef]*liveRun
	highestRun  map[durable.TaskID]uint32 // greatest run that ended or was sealed
	ended       []runtable.ListedEnd
	lastEnd     uint64
	capacity    durable.Resources
	former      []formerCapacity
	failing     bool
	refusing    bool // takes no orders to start for now
	// refusesConnections says that it runs on, and no call reaches it.
	refusesConnections bool
	silent             bool    // answers nothing, and carries out a part of what it is told
	lateShare          float64 // share of orders that are carried out late
	lateStops          bool    // orders to stop have no answer, and are carried out late
	// slowAnswers is the share of answers that are long on their way.
	slowAnswerShare float64
	reports         uint64 // heartbeats of this life so far
	// lateReports is the share of heartbeats that are held up on their way.
	lateReportShare float64
	lapsedAt        time.Time
}

// formerCapacity is a capacity that a backend server had until some time.
type formerCapacity struct {
	capacity durable.Resources
	until    time.Time
}

type liveRun struct {
	need    durable.Resources
	ends    time.Time
	fails   bool
	stopped bool // its stop is under way: it still takes room
	started time.Time
}

func newBackendNode(w *world) *backendNode {
	b := &backendNode{w: w, capacity: durable.Resources{CPU: 8000, Memory: 8000}}
	b.restart()
	return b
}

func (b *backendNode) restart() {
	b.incarnation++
	b.up = true
	b.born = b.w.now
	b.slowness = b.w.random.Float64() * 0.02
	b.token = 0
	b.deadline = 0
	b.running = make(map[wire.RunRef]*liveRun)
	b.highestRun = make(map[durable.TaskID]uint32)
	b.ended = nil
	b.lastEnd = 0
	b.reports = 0
}

func (b *backendNode) crash() {
	b.endDueRuns()
	for _, ref := range b.refs() {
		if j := b.w.clients[ref.Task.Job]; j != nil {
			j.crashed(ref.Task)
		}
	}
	for _, e := range b.ended {
		// An end that no worker has acknowledged is lost with the server; of a best-effort
		// job nothing else is left of the run.
		if j := b.w.clients[e.Ref.Task.Job]; j != nil && j.submission.BestEffort {
			j.crashed(e.Ref.Task)
		}
	}
	b.up = false
}

// report returns what the next heartbeat says.
func (b *backendNode) report(name string) runtable.Report {
	b.reports++
	return runtable.Report{
		Number:   b.reports,
		Identity: runtable.Identity{Instance: b.instance(name), Born: b.bornAt(), Service: "s", Ready: true, Capacity: b.capacity},
	}
}

// instance returns the ID of its life, which later lives have again where the world's
// servers keep theirs.
func (b *backendNode) instance(name string) string {
	if b.w.reusesID {
		return name
	}
	return fmt.Sprintf("%s/%d", name, b.incarnation)
}

// bornAt returns when its life began, in milliseconds; 0 where servers do not tell.
func (b *backendNode) bornAt() int64 {
	if !b.w.reusesID {
		return 0
	}
	return b.born.UnixMilli()
}

// clock starts above zero, as that of a life that began some time ago.
func (b *backendNode) clock() time.Duration {
	real := b.w.now.Sub(b.born)
	return time.Second + time.Duration(float64(real)*(1-b.slowness))
}

func (b *backendNode) runCount(task durable.TaskID) int {
	if !b.up {
		return 0
	}
	b.endDueRuns()
	n := 0
	for ref := range b.running {
		if ref.Task == task {
			n++
		}
	}
	return n
}

// refs returns the runs in their order.
func (b *backendNode) refs() []wire.RunRef {
	return ordered.KeysFunc(b.running, func(x, y wire.RunRef) int {
		return cmp.Or(cmp.Compare(x.Task.String(), y.Task.String()), cmp.Compare(x.Run, y.Run))
	})
}

// settle ends what has ended by now.
func (b *backendNode) endDueRuns() {
	if b.clock() > b.deadline {
		b.lapsedAt = b.w.now
		for _, ref := range b.refs() {
			b.end(ref, wire.EndLapsed)
		}
		return
	}
	for _, ref := range b.refs() {
		r := b.running[ref]
		if b.w.now.Before(r.ends) {
			continue
		}
		switch {
		case r.stopped:
			b.end(ref, wire.EndStopped)
		case r.fails:
			b.end(ref, wire.EndFailed)
		default:
			b.end(ref, wire.EndDone)
		}
	}
}

func (b *backendNode) end(ref wire.RunRef, how wire.End) {
	delete(b.running, ref)
	b.lastEnd++
	b.highestRun[ref.Task] = max(b.highestRun[ref.Task], ref.Run)
	b.w.trace("backend", ref.Task.String(), "%s run %d number %d", how, ref.Run, b.lastEnd)
	b.ended = append(b.ended, runtable.ListedEnd{Number: b.lastEnd, Ref: ref, Valid: true, How: how})
	if j := b.w.clients[ref.Task.Job]; j != nil {
		j.ended(b, ref, how, b.lastEnd)
	}
}

func (b *backendNode) extend(deadline time.Duration) {
	most := b.clock() + time.Second
	b.deadline = max(b.deadline, min(deadline, most))
}

// start carries an order out.
func (b *backendNode) start(c runtable.StartCall, name string) runtable.StartResult {
	b.endDueRuns()
	if c.Instance != b.instance(name) {
		return runtable.StartWrongIncarnation
	}
	if c.Token < b.token {
		return runtable.StartFenced
	}
	b.token = c.Token
	if b.running[c.Ref] != nil {
		return runtable.StartAccepted
	}
	if c.Ref.Run <= b.highestRun[c.Ref.Task] {
		return runtable.StartRunNumberUsed
	}
	if c.Deadline <= b.clock() {
		return runtable.StartLeaseExpired
	}
	if b.refusing {
		b.w.counts["refused orders"]++
		return runtable.StartUnhealthy
	}
	j := b.w.clients[c.Ref.Task.Job]
	if j == nil {
		b.w.violated("%v was started, and nobody sent it", c.Ref.Task)
		return runtable.StartInvalid
	}
	need := j.submission.Steps[c.Ref.Task.Step].Need
	if free := b.freeCapacity(); !need.Fits(free) {
		if !b.w.unguarded {
			return runtable.StartNoRoom
		}
		if !need.Fits(b.countedFreeCapacity()) {
			b.w.violated("%s starts %v, which needs %v, with room for %v", name, c.Ref.Task, need, free)
			return runtable.StartNoRoom
		}
	}
	if c.Born != b.bornAt() {
		b.w.counts["starts by a later life"]++
	}
	b.w.trace(name, c.Ref.Task.String(), "starts run %d", c.Ref.Run)
	j.checkStart(b, c.Ref, c.Spec)
	b.extend(c.Deadline)
	taskTime := b.w.between(30*time.Millisecond, 400*time.Millisecond)
	if b.w.taskTime > 0 {
		taskTime = b.w.taskTime
	}
	if j.taskTime > 0 {
		taskTime = j.taskTime
	}
	b.running[c.Ref] = &liveRun{need: need, started: b.w.now, ends: b.w.now.Add(taskTime), fails: b.failing || j.failsAlways || b.w.chance(0.02)}
	b.w.counts["runs"]++
	if j.crashesServer(c.Ref.Task) {
		b.crashSoon(c.Ref)
	}
	return runtable.StartAccepted
}

// room returns what no run takes. What is being stopped still takes it.
func (b *backendNode) freeCapacity() durable.Resources {
	free := b.capacity
	for _, r := range b.running {
		free = free.Sub(r.need)
	}
	return free
}

// countedRoom is the room as it counts against a start: a capacity that has shrunk counts
// shrinkGrace later.
func (b *backendNode) countedFreeCapacity() durable.Resources {
	counted := b.capacity
	for _, c := range b.former {
		if b.w.now.Sub(c.until) <= shrinkGrace {
			counted = counted.Max(c.capacity)
		}
	}
	return b.freeCapacity().Sub(b.capacity).Add(counted)
}

// resize changes the capacity, of which the next heartbeat tells.
func (b *backendNode) resize(capacity durable.Resources) {
	b.former = append(b.former, formerCapacity{b.capacity, b.w.now})
	b.capacity = capacity
}

// percent returns how far the run has come.
func (r *liveRun) percent(now time.Time) int {
	return int(100 * now.Sub(r.started) / r.ends.Sub(r.started))
}

// stopGrace is how long a stop may take at a backend server; the users' platform
// sets it.
const stopGrace = 50 * time.Millisecond

// stopRun ends the run, at once or, where the world has stops that take time,
// within the grace.
func (b *backendNode) stopRun(ref wire.RunRef) {
	r := b.running[ref]
	if !b.w.unguarded {
		b.end(ref, wire.EndStopped)
		return
	}
	if end := b.w.now.Add(b.w.between(0, stopGrace)); !r.stopped && end.Before(r.ends) {
		r.stopped, r.ends = true, end
	}
}

func (b *backendNode) stop(c runtable.StopCall, name string) {
	b.endDueRuns()
	if c.Instance != b.instance(name) || c.Token < b.token {
		return
	}
	b.token = c.Token
	if b.running[c.Ref] != nil {
		b.stopRun(c.Ref)
	}
	b.highestRun[c.Ref.Task] = max(b.highestRun[c.Ref.Task], c.Ref.Run)
}

func (b *backendNode) renew(c runtable.RenewCall, name string) runtable.RenewAnswer {
	b.endDueRuns()
	if c.Instance != b.instance(name) {
		return runtable.RenewAnswer{Result: runtable.RenewWrongIncarnation}
	}
	another := c.Born != b.bornAt()
	if c.Token < b.token {
		if another {
			return runtable.RenewAnswer{Result: runtable.RenewRestarted}
		}
		return runtable.RenewAnswer{Result: runtable.RenewFenced, Clock: b.clock()}
	}
	b.token = c.Token
	if c.Deadline > 0 {
		b.extend(c.Deadline)
	}
	left := b.ended[:0:0]
	for _, e := range b.ended {
		if e.Number > c.LastSeen {
			left = append(left, e)
			continue
		}
		if j := b.w.clients[e.Ref.Task.Job]; j != nil {
			j.recordAck(b, e)
		}
	}
	b.ended = left
	if another {
		b.w.counts["renewals at a later life"]++
		return runtable.RenewAnswer{Result: runtable.RenewRestarted}
	}
	a := runtable.RenewAnswer{Result: runtable.RenewOK, Clock: b.clock()}
	for _, ref := range b.refs() {
		a.Running = append(a.Running, runtable.ListedRun{Ref: ref, Percent: b.running[ref].percent(b.w.now)})
	}
	a.Ended = append(a.Ended, b.ended...)
	return a
}
