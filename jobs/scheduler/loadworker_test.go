package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/room"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/wire"
)

// loadWorker simulates a worker. It shares its free capacity between coordinators by package room, as
// a real worker does, and starts at once what fits.
type loadWorker struct {
	p           *loadSim
	number      int
	name        string
	incarnation int // number of restarts of its process
	factor      float64
	free        durable.Resources
	room        *room.Table
	shared      bool        // a coordinator requested capacity when it was last shared
	links       []*loadLink // by coordinator
	running     []loadRun
}

// loadLink is a connection to a coordinator.
type loadLink struct {
	core         *loadCore
	up           bool
	beatSeq      uint64
	startSeq     uint64
	identified   bool      // has sent the identity of its backend server
	backOffUntil time.Time // the coordinator gets no status before, so it sends no orders
}

// loadRun is a run at a worker.
type loadRun struct {
	core  *loadCore
	order wire.RunOrder
	began time.Time
}

func newLoadWorker(p *loadSim, number int) *loadWorker {
	w := &loadWorker{p: p, number: number, name: fmt.Sprintf("w%d", number), factor: 1, free: durable.Resources{CPU: loadCapacity, Memory: 1 << 20}}
	if p.set.factor != nil {
		w.factor = p.set.factor(number)
	}
	w.room = newRoom(w.free)
	return w
}

func newRoom(whole durable.Resources) *room.Table {
	cfg := config.DefaultRoom()
	t := room.New(cfg.Core())
	t.SetCapacity(whole)
	return t
}

func (w *loadWorker) dataCentre() string { return dataCentreOf(w.number) }

func (w *loadWorker) ready() bool { return w.dataCentre() != w.p.evacuated }

// connect connects the worker to the coordinator.
func (w *loadWorker) connect(k *loadCore) {
	w.links = append(w.links, &loadLink{core: k, up: !k.down})
	w.p.deliver(k, func(now time.Time) { k.core.WorkerUp(now, w.name, w.dataCentre()) })
	if w.number%len(w.p.cores) == k.number {
		k.core.SetPreference(w.name, scheduler.Preferred)
	}
	w.shareCapacity([]*loadCore{k}, false)
}

// restart restarts the worker's process. It loses the capacity requests, the runs continue, and the
// coordinators reconnect at once.
func (w *loadWorker) restart() {
	w.incarnation++
	whole := durable.Resources{CPU: loadCapacity, Memory: 1 << 20}
	w.room = newRoom(whole)
	w.links = nil
	for _, k := range w.p.cores {
		w.p.deliver(k, func(now time.Time) { k.core.WorkerDown(now, w.name) })
		w.connect(k)
	}
}

// disconnect ends the connection to the coordinator.
func (w *loadWorker) disconnect(k *loadCore) {
	w.links[k.number].up = false
	w.room.RemoveOwner(k.name)
	w.shareCapacity(nil, false)
}

// receive handles a message, unless it was sent to an earlier incarnation of the worker's process.
func (w *loadWorker) receive(k *loadCore, incarnation int, m wire.Message) {
	l := w.links[k.number]
	if incarnation != w.incarnation || !l.up {
		return
	}
	switch m := m.(type) {
	case *wire.OwnerHeartbeat:
		l.beatSeq = m.Seq
		w.shareCapacity([]*loadCore{k}, false)
	case *wire.StartRuns:
		w.start(l, m)
	case *wire.StopRuns:
		w.stop(m)
	case *wire.RunsQuery:
		w.answer(k, m)
	case *wire.CapacityRequest:
		w.p.part().requests++
		w.room.Request(w.p.now, k.name, m)
		w.shareCapacity(nil, false)
	}
}

// start starts the runs that fit into the capacity which the coordinator may use, and hands back the
// others.
func (w *loadWorker) start(l *loadLink, m *wire.StartRuns) {
	p, k := w.p, l.core
	l.startSeq = m.Seq
	w.room.OrderReceived(p.now, k.name, m.Seen)
	for _, order := range m.Runs {
		p.part().sent++
		if !w.ready() || !order.Need.Fits(w.room.Available(k.name, w.free)) {
			p.part().handedBack++
			w.handBack(l, order.Ref)
			continue
		}
		w.free = w.free.Sub(order.Need)
		w.startRun(loadRun{k, order, p.now})
	}
	w.room.OrdersAccepted(k.name, w.free)
	w.shareCapacity([]*loadCore{k}, false)
}

func (w *loadWorker) handBack(l *loadLink, ref wire.RunRef) {
	p := w.p
	w.sendEnd(l, wire.RunEnd{Ref: ref, How: uint8(wire.EndNotRun), Reason: "busy"})
	if p.set.backOff && p.now.After(l.backOffUntil) {
		pause := time.Duration(5+15*hashed("back off %v %d", ref, w.number)) * time.Millisecond
		l.backOffUntil = p.now.Add(pause)
		p.after(pause+time.Microsecond, func() { w.shareCapacity([]*loadCore{l.core}, false) })
	}
}

func (w *loadWorker) startRun(r loadRun) {
	p := w.p
	p.noteStart(r.order.Ref.Task.Job)
	if slices.ContainsFunc(p.workers, func(o *loadWorker) bool { return o.runs(r.order.Ref.Task) }) {
		p.ranTwice = append(p.ranTwice, r.order.Ref.Task.String()+" runs twice")
	}
	w.running = append(w.running, r)
	if p.set.onStart != nil {
		p.set.onStart(w, &r)
	}
	took := w.factor * w.distance(&r.order) * around(float64(r.order.EstimateMS), hashed("%v of %d", r.order.Ref.Task, p.seed)) * float64(time.Millisecond)
	p.after(time.Duration(took), func() { w.ended(r.order.Ref, wire.EndDone) })
}

// ended ends a run, unless it has ended before.
func (w *loadWorker) ended(ref wire.RunRef, how wire.End) {
	at := slices.IndexFunc(w.running, func(r loadRun) bool { return r.order.Ref == ref })
	if at < 0 {
		return
	}
	r := w.running[at]
	w.running = slices.Delete(w.running, at, at+1)
	w.free = w.free.Add(r.order.Need)
	l := w.links[r.core.number]
	w.sendEnd(l, wire.RunEnd{Ref: ref, How: uint8(how), RunMS: w.p.now.Sub(r.began).Milliseconds()})
	w.shareCapacity(nil, true)
}

// runs returns whether the task runs here.
func (w *loadWorker) runs(task durable.TaskID) bool {
	return slices.ContainsFunc(w.running, func(r loadRun) bool { return r.order.Ref.Task == task })
}

// startedAfter returns whether any present run began after the moment.
func (w *loadWorker) startedAfter(moment time.Time) bool {
	return slices.ContainsFunc(w.running, func(r loadRun) bool { return r.began.After(moment) })
}

func (w *loadWorker) stop(m *wire.StopRuns) {
	for _, ref := range m.Runs {
		w.ended(ref, wire.EndStopped)
	}
}

// answer reports the present runs of a coordinator in reply to its query.
func (w *loadWorker) answer(k *loadCore, m *wire.RunsQuery) {
	reply := &wire.PartitionRuns{Partition: wire.BestEffortRuns, StartSeq: w.links[k.number].startSeq}
	for _, r := range w.running {
		if r.core == k {
			reply.Running = append(reply.Running, r.order.Ref)
		}
	}
	w.send(k, func(now time.Time) { k.core.Runs(now, w.name, reply) })
}

// send delivers a message to the coordinator after the delay, unless the connection is lost before.
func (w *loadWorker) send(k *loadCore, event func(now time.Time)) {
	l, incarnation := w.links[k.number], w.incarnation
	w.p.after(k.delay, func() {
		if l.up && incarnation == w.incarnation {
			w.p.deliver(k, event)
		}
	})
}

func (w *loadWorker) sendEnd(l *loadLink, e wire.RunEnd) {
	m := &wire.RunEnds{Ends: []wire.RunEnd{e}}
	w.send(l.core, func(now time.Time) { l.core.core.Ends(now, w.name, m) })
}

// shareCapacity shares the free capacity, and sends statuses: to the given coordinators, to those that
// got a grant, and to all if no coordinator requests capacity and either freed is true or one requested
// it the last time.
func (w *loadWorker) shareCapacity(to []*loadCore, freed bool) {
	free := w.free
	if !w.ready() {
		free = durable.Resources{}
	}
	granted := w.room.Allocate(w.p.now, free)
	all := !w.room.Sharing() && (freed || w.shared)
	w.shared = w.room.Sharing()
	for _, l := range w.links {
		if l.up && (all || slices.Contains(to, l.core) || slices.Contains(granted, l.core.name)) {
			w.status(l)
		}
	}
}

// status sends the worker's status to a coordinator.
func (w *loadWorker) status(l *loadLink) {
	p, k := w.p, l.core
	if p.now.Before(l.backOffUntil) {
		return
	}
	m := &wire.WorkerStatus{
		Stamp:        max(1, p.at().Microseconds()),
		HeartbeatSeq: l.beatSeq,
		StartSeq:     l.startSeq,
		Ready:        w.ready(),
		Free:         w.room.Available(k.name, w.free),
		TimeFactor:   uint32(100 * w.factor),
		Waiting:      w.room.WaitingElsewhere(p.now, k.name),
	}
	if !l.identified {
		l.identified = true
		m.Identity = &wire.BackendIdentity{Instance: w.name, Service: "s", Labels: []string{rackOf(w.number)}, Capacity: durable.Resources{CPU: loadCapacity, Memory: 1 << 20}}
	}
	w.room.StatusSent(p.now, k.name, m.Stamp)
	w.send(k, func(now time.Time) { k.core.Status(now, w.name, m) })
}
