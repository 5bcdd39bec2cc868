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

// backendNode is a stand-in backend server. It executes runs under a lease that it measures by its
// own clock, which may be slow.
type backendNode struct {
	w           *world
	incarnation int
	up          bool
	born        time.Time
	slowness    float64 // by which share its clock is slow, such as 0.02
	token       uint64
	deadline    time.Duration // of the lease, by its clock
	running     map[wire.RunRef]*liveRun
	highestRun  map[durable.TaskID]uint32 // highest run number that ended or was stopped
	ended       []runtable.ListedEnd      // ends that no worker has acknowledged
	lastEnd     uint64                    // number of the latest end
	capacity    durable.Resources
	labels      []string
	former      []formerCapacity // capacities that it had before
	failing     bool             // all runs that it starts fail
	refusing    bool             // refuses orders to start
	// refusesConnections says that it executes its runs while every call to it is refused.
	refusesConnections bool
	silent             bool    // answers nothing, and executes about half of the calls
	lateShare          float64 // share of calls that are executed late and not answered
	lateStops          bool    // orders to stop are not answered, and executed late
	// slowAnswerShare is the share of answers that are delayed.
	slowAnswerShare float64
	reports         uint64 // heartbeats sent in this incarnation
	// lateReportShare is the share of heartbeats that are delayed.
	lateReportShare float64
	lapsedAt        time.Time // when its lease was last found expired
}

// formerCapacity is a capacity that a backend server had until a time.
type formerCapacity struct {
	capacity durable.Resources
	until    time.Time
}

// liveRun is a run that is executing.
type liveRun struct {
	need    durable.Resources
	ends    time.Time
	fails   bool
	stopped bool // is being stopped: it still takes capacity
	started time.Time
}

func newBackendNode(w *world) *backendNode {
	b := &backendNode{w: w, capacity: durable.Resources{CPU: 8000, Memory: 8000}}
	b.restart()
	return b
}

// become gives the server the capacity and label of a kind.
func (b *backendNode) become(k serverKind) {
	if k.cores > 0 {
		b.capacity.CPU = 1000 * k.cores
	}
	if k.label != "" {
		b.labels = []string{k.label}
	}
}

// restart begins a new incarnation, which has nothing of the former one.
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

// crash ends the backend server and its runs, and counts a crash for each task whose run is lost.
func (b *backendNode) crash() {
	b.endDueRuns()
	for _, ref := range b.refs() {
		if j := b.w.clients[ref.Task.Job]; j != nil {
			j.crashed(ref.Task)
		}
	}
	for _, e := range b.ended {
		// An end that no worker has acknowledged is lost with the server. Of a best-effort job
		// nothing else of the run is recorded.
		if j := b.w.clients[e.Ref.Task.Job]; j != nil && j.submission.BestEffort {
			j.crashed(e.Ref.Task)
		}
	}
	b.up = false
}

// report returns the next heartbeat.
func (b *backendNode) report(name string) runtable.Report {
	b.reports++
	return runtable.Report{
		Number:   b.reports,
		Identity: runtable.Identity{Instance: b.instance(name), Born: b.bornAt(), Service: "s", Ready: true, Capacity: b.capacity, Labels: b.labels},
	}
}

// instance returns the ID of the incarnation. All incarnations of a server have the same ID if the
// world's servers reuse it.
func (b *backendNode) instance(name string) string {
	if b.w.reusesID {
		return name
	}
	return fmt.Sprintf("%s/%d", name, b.incarnation)
}

// bornAt returns when the incarnation began, in milliseconds since 1970; 0 where servers do not
// report that.
func (b *backendNode) bornAt() int64 {
	if !b.w.reusesID {
		return 0
	}
	return b.born.UnixMilli()
}

// clock returns the reading of the server's clock. It starts above zero, as if the incarnation had
// begun some time ago.
func (b *backendNode) clock() time.Duration {
	real := b.w.now.Sub(b.born)
	return time.Second + time.Duration(float64(real)*(1-b.slowness))
}

// runCount returns how many runs of the task are executing.
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

// runsOfStep returns how many other tasks of the task's step are executing here.
func (b *backendNode) runsOfStep(task durable.TaskID) uint32 {
	n := uint32(0)
	for ref := range b.running {
		if ref.Task.Job == task.Job && ref.Task.Step == task.Step && ref.Task.Index != task.Index {
			n++
		}
	}
	return n
}

// refs returns the executing runs, ordered by task and run number.
func (b *backendNode) refs() []wire.RunRef {
	return ordered.KeysFunc(b.running, func(x, y wire.RunRef) int {
		return cmp.Or(cmp.Compare(x.Task.String(), y.Task.String()), cmp.Compare(x.Run, y.Run))
	})
}

// endDueRuns ends the runs whose time is over, and all runs if the lease has expired.
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

// end ends a run and lists its end until a worker acknowledges it.
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

// extend extends the lease to the deadline, but to no later than a second from now.
func (b *backendNode) extend(deadline time.Duration) {
	most := b.clock() + time.Second
	b.deadline = max(b.deadline, min(deadline, most))
}

// start executes an order to start a run.
func (b *backendNode) start(c runtable.StartCall, name string) runtable.StartResult {
	b.endDueRuns()
	if c.Instance != b.instance(name) || b.w.boundStarts && c.Born != b.bornAt() {
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
		b.w.violated("%v was started, but no client submitted it", c.Ref.Task)
		return runtable.StartInvalid
	}
	need := j.submission.Steps[c.Ref.Task.Step].Need
	if free := b.freeCapacity(); !need.Fits(free) {
		if !b.w.unguarded {
			return runtable.StartNoRoom
		}
		if !need.Fits(b.countedFreeCapacity()) {
			b.w.violated("%s starts %v, which needs %v, with free capacity %v", name, c.Ref.Task, need, free)
			return runtable.StartNoRoom
		}
	}
	if c.Born != b.bornAt() {
		b.w.counts["starts by a later incarnation"]++
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

// freeCapacity returns the capacity that no run takes. A run that is being stopped still takes it.
func (b *backendNode) freeCapacity() durable.Resources {
	free := b.capacity
	for _, r := range b.running {
		free = free.Sub(r.need)
	}
	return free
}

// countedFreeCapacity returns the free capacity that a start is checked against: a capacity that
// has shrunk counts only shrinkGrace later.
func (b *backendNode) countedFreeCapacity() durable.Resources {
	counted := b.capacity
	for _, c := range b.former {
		if b.w.now.Sub(c.until) <= shrinkGrace {
			counted = counted.Max(c.capacity)
		}
	}
	return b.freeCapacity().Sub(b.capacity).Add(counted)
}

// resize changes the capacity, which the next heartbeat reports.
func (b *backendNode) resize(capacity durable.Resources) {
	b.former = append(b.former, formerCapacity{b.capacity, b.w.now})
	b.capacity = capacity
}

// percent returns the progress of the run.
func (r *liveRun) percent(now time.Time) int {
	return int(100 * now.Sub(r.started) / r.ends.Sub(r.started))
}

// stopGrace is how long a backend server may take to stop a run; the users' platform sets it.
const stopGrace = 50 * time.Millisecond

// stopRun ends the run: at once or, where stops take time, within stopGrace.
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

// stop executes an order to stop a run, and refuses later starts of runs up to its number.
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

// renew executes a renewal: it extends the lease, drops the acknowledged ends, and lists the
// executing runs and the other ends.
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
		b.w.counts["renewals at a later incarnation"]++
		return runtable.RenewAnswer{Result: runtable.RenewRestarted}
	}
	a := runtable.RenewAnswer{Result: runtable.RenewOK, Clock: b.clock()}
	for _, ref := range b.refs() {
		a.Running = append(a.Running, runtable.ListedRun{Ref: ref, Percent: b.running[ref].percent(b.w.now)})
	}
	listed := min(len(b.ended), b.w.listedEnds)
	a.Ended = append(a.Ended, b.ended[:listed]...)
	a.MoreEnded = listed == b.w.listedEnds
	if listed < len(b.ended) {
		b.w.counts["cut lists"]++
	}
	return a
}
