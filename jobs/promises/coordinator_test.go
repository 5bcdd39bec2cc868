package promises

import (
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/ownership"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/jobs/subset"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// takingOver is an attempt to take a partition over.
type takingOver struct {
	epoch    uint64
	ticket   int
	assigned time.Time // when the partition was assigned
}

// nodeCall is a client's call to a coordinator.
type nodeCall struct {
	kind       wire.CallKind
	id         durable.JobID
	submission *durable.Submission
	reply      func(scheduler.Reply)
	number     scheduler.Call
	forwarded  bool      // by another coordinator
	receivedAt time.Time // when the process received it; zero if that is when it is handled
}

// coordinatorNode is a coordinator: its core, its lease of partitions and its connections to
// workers.
type coordinatorNode struct {
	process
	core       *scheduler.Core
	owned      *ownership.Table
	epochs     map[uint32]uint64
	append     map[uint32]*store.AppendTracker
	loading    map[uint32]takingOver     // by partition
	earlier    map[uint32][]durable.Term // terms of others that may last, by partition
	lastTicket int
	conns      map[string]*conn
	chosen     map[string]bool // workers to connect to; nil for all
	chosenAt   time.Time
	widening   subset.Widening
	dialing    map[string]bool
	calls      map[scheduler.Call]*nodeCall
	lastCall   scheduler.Call
	lastConn   int
	peers      *peers    // nil where coordinators announce no best-effort jobs
	claimant   *claimant // nil where peers is
}

func newCoordinatorNode(w *world, name string) *coordinatorNode {
	n := &coordinatorNode{process: process{w: w, name: name}}
	n.start()
	return n
}

// dial replaces closed connections to workers and opens missing ones.
func (n *coordinatorNode) dial() {
	for _, worker := range n.w.workers {
		c := n.conns[worker.name]
		if c != nil && (!worker.alive || worker.incarnation != c.incarnations[1] || c.closed) {
			n.disconnect(c)
			c = nil
		}
		if c != nil || !worker.alive || worker.paused || !n.w.reaches(n.name, worker.name) || !n.w.reaches(worker.name, n.name) {
			continue
		}
		if n.isChosen(worker.name) {
			n.connect(worker)
		}
	}
}

func (n *coordinatorNode) connect(worker *workerNode) {
	n.lastConn++
	c := &conn{from: n, to: worker, incarnations: [2]int{n.incarnation, worker.incarnation}, name: fmt.Sprintf("%s#%d", n.fullName(), n.lastConn)}
	n.conns[worker.name] = c
	worker.conns[c.name] = c
	worker.table.OwnerUp(n.now(), c.name, n.fullName())
	worker.perform()
	n.core.WorkerUp(n.now(), worker.name, worker.dataCentre)
}

// disconnect closes the coordinator's end of a connection. The worker's end is closed too, at once
// or, where the link delivers late, after the held messages.
func (n *coordinatorNode) disconnect(c *conn) {
	c.closed = true
	if n.conns[c.to.name] != c {
		return
	}
	delete(n.conns, c.to.name)
	n.core.WorkerDown(n.now(), c.to.name)
	if n.w.lateLinks && c.silent {
		c.deliverHeld()
		return
	}
	if c.to.alive && c.to.incarnation == c.incarnations[1] {
		c.to.postFrom(c.name, c.incarnations[1], func() { c.to.removeConn(c) })
	}
}

// join registers the coordinator in the store, which returns its partitions, and repeats that every
// 150 to 250 ms.
func (n *coordinatorNode) join() {
	sent := n.now()
	var a store.Assignment
	incarnation := n.incarnation
	n.w.storeCall(n.name, 900*time.Millisecond, func() error {
		a = n.w.store.Join(n.w.now, n.fullName(), n.owned.Generation(), n.owned.TTL)
		return nil
	}, func(err error, ok bool) {
		n.post(incarnation, func() {
			if err == nil && ok {
				n.joined(sent, a)
			}
			n.later(n.w.between(150*time.Millisecond, 250*time.Millisecond), n.join)
		})
	})
}

func (n *coordinatorNode) joined(sent time.Time, a store.Assignment) {
	change := n.owned.Joined(sent, n.now(), a)
	if change.Late {
		return
	}
	for _, term := range change.Released {
		n.release(term.Partition)
	}
	for _, term := range change.Acquired {
		n.load(term.Partition, term.Epoch)
	}
	n.updateSuspended()
	n.core.Confirmed(n.now(), sent)
	n.perform()
}

// updateSuspended suspends the partitions while the coordinator's lease is not valid.
func (n *coordinatorNode) updateSuspended() {
	for _, p := range ordered.Keys(n.epochs) {
		n.core.Suspend(n.now(), p, !n.owned.Valid(n.now()))
	}
}

func (n *coordinatorNode) release(p uint32) {
	delete(n.loading, p)
	delete(n.earlier, p)
	delete(n.epochs, p)
	delete(n.append, p)
	n.core.Release(n.now(), p, "given up")
}

// load begins to take a partition over: fence it, read its records, then acquire it. The ticket
// identifies the attempt; a later one replaces it.
func (n *coordinatorNode) load(p uint32, epoch uint64) {
	n.lastTicket++
	ticket := n.lastTicket
	n.loading[p] = takingOver{epoch, ticket, n.now()}
	n.fence(p, epoch, ticket)
}

func (n *coordinatorNode) fence(p uint32, epoch uint64, ticket int) {
	incarnation := n.incarnation
	again := func() {
		n.later(50*time.Millisecond, func() {
			if n.loading[p].ticket == ticket {
				n.fence(p, epoch, ticket)
			}
		})
	}
	record := durable.TermRecord(durable.Term{Epoch: epoch, Address: n.name})
	n.w.storeCall(n.name, time.Second, func() error { return n.w.store.Fence(p, epoch, record) }, func(err error, ok bool) {
		n.post(incarnation, func() {
			switch {
			case n.loading[p].ticket != ticket:
			case ok && err == nil:
				n.read(p, epoch, ticket)
			case ok && err == store.ErrFenced:
				n.owned.Lost(ownership.Term{Partition: p, Epoch: epoch})
				n.release(p)
			default:
				again()
			}
		})
	})
}

func (n *coordinatorNode) read(p uint32, epoch uint64, ticket int) {
	incarnation := n.incarnation
	var records []durable.Record
	n.w.storeCall(n.name, time.Second, func() error {
		records = n.w.store.Newest(p)
		return nil
	}, func(err error, ok bool) {
		n.post(incarnation, func() {
			switch {
			case n.loading[p].ticket != ticket:
			case !ok || err != nil:
				n.fence(p, epoch, ticket)
			default:
				n.loaded(p, epoch, records)
			}
		})
	})
}

func (n *coordinatorNode) loaded(p uint32, epoch uint64, records []durable.Record) {
	t := scheduler.Takeover{Partition: p, Epoch: epoch, EarlierEndBy: n.loading[p].assigned.Add(n.owned.TTL)}
	delete(n.loading, p)
	terms, others := durable.SplitTerms(records)
	stored, malformed := durable.Collect(others)
	if len(malformed) > 0 {
		n.w.violated("malformed records %v", malformed)
	}
	n.epochs[p] = epoch
	n.append[p] = store.NewAppendTracker(store.FenceNumber + 1)
	t.Jobs = stored
	for _, term := range terms {
		if term.Epoch < epoch {
			t.Earlier = append(t.Earlier, term.Epoch)
			n.earlier[p] = append(n.earlier[p], term)
		}
	}
	n.core.Acquire(n.now(), &t)
	n.endEarlierTerms()
	n.core.Suspend(n.now(), p, !n.owned.Valid(n.now()))
	n.w.counts["takeovers"]++
	n.perform()
}

// commit appends records to the store, and repeats the append until its result is known.
func (n *coordinatorNode) commit(c scheduler.Commit) {
	a := n.append[c.Partition]
	if a == nil || n.epochs[c.Partition] != c.Epoch {
		return
	}
	incarnation := n.incarnation
	number := a.Number()
	n.w.storeCall(n.name, 1500*time.Millisecond, func() error {
		return n.w.store.Append(c.Partition, c.Epoch, number, c.Records)
	}, func(err error, ok bool) {
		n.post(incarnation, func() {
			if n.append[c.Partition] != a {
				return
			}
			if !ok {
				err = errSilence
			}
			n.committed(a, c, err)
		})
	})
}

var errSilence = fmt.Errorf("no answer")

func (n *coordinatorNode) committed(a *store.AppendTracker, c scheduler.Commit, err error) {
	for _, r := range c.Records {
		n.w.trace(n.fullName(), r.Key, "commit part %d number %d: %x -> %v", c.Partition, a.Number(), r.Value, err)
	}
	switch a.HandleResult(err) {
	case store.AppendPending:
		n.later(40*time.Millisecond, func() {
			if n.append[c.Partition] == a {
				n.commit(c)
			}
		})
		return
	case store.AppendDone:
		n.core.Committed(n.now(), c.Partition, c.Epoch, scheduler.CommitOK)
	case store.AppendRefused:
		n.core.Committed(n.now(), c.Partition, c.Epoch, scheduler.CommitRefused)
	default:
		n.core.Committed(n.now(), c.Partition, c.Epoch, scheduler.CommitFenced)
		n.owned.Lost(ownership.Term{Partition: c.Partition, Epoch: c.Epoch})
		n.release(c.Partition)
	}
	n.perform()
}

// answer sends a reply to the client. It is lost if the process dies or is paused before it is
// sent.
func (n *coordinatorNode) answer(call *nodeCall, r scheduler.Reply) {
	incarnation := n.incarnation
	n.w.after(time.Millisecond, func() {
		if n.alive && n.incarnation == incarnation && !n.paused {
			call.reply(r)
		}
	})
}

// call sends a client's call to the coordinator.
func (n *coordinatorNode) call(c *nodeCall) {
	incarnation := n.incarnation
	n.w.after(time.Millisecond, func() {
		if n.alive && !n.paused {
			c.receivedAt = n.clock.Now()
		}
		n.postFrom(string(c.id), incarnation, func() { n.handleCall(c, true) })
	})
}

// handleCall handles a call. One about a durable job goes on to the owner of its partition, if
// mayForward and another coordinator is the owner.
func (n *coordinatorNode) handleCall(c *nodeCall, mayForward bool) {
	bestEffort := c.submission != nil && c.submission.BestEffort
	if bestEffort && !n.acceptsBestEffort(c) {
		return
	}
	if !bestEffort && !n.core.Owns(c.id) {
		owner := n.w.ownerOf(c.id)
		if mayForward && owner != nil && owner != n && n.w.reaches(n.name, owner.name) {
			incarnation := owner.incarnation
			n.w.after(time.Millisecond, func() { owner.post(incarnation, func() { owner.handleCall(c, false) }) })
			return
		}
		n.answer(c, scheduler.Reply{ID: c.id, Failure: failure.NoOwner})
		return
	}
	n.lastCall++
	c.number = n.lastCall
	n.calls[c.number] = c
	switch c.kind {
	case wire.CallSubmit:
		n.submit(c)
	case wire.CallState:
		n.core.State(n.now(), c.number, c.id, 0)
	case wire.CallCancel:
		n.core.Cancel(n.now(), c.number, c.id)
	}
	n.perform()
}

// submit passes a submission to the core, where a best-effort job waits until it is claimed.
func (n *coordinatorNode) submit(c *nodeCall) {
	if n.claimant == nil || !c.submission.BestEffort {
		n.core.Submit(n.now(), c.number, c.submission, 0)
		return
	}
	n.core.SubmitUnclaimed(n.now(), c.number, c.submission, 0)
	n.recordSentTime(c)
	if n.core.Unclaimed(c.id) {
		n.claimant.claims.Claim(n.now(), c.id)
	}
}

// abandon reports to the coordinator that the client of the job has closed its connection.
func (n *coordinatorNode) abandon(id durable.JobID) {
	incarnation := n.incarnation
	n.postFrom(string(id), incarnation, func() {
		n.dropDeferred(id)
		for _, number := range ordered.Keys(n.calls) {
			c := n.calls[number]
			if c.id == id && c.kind == wire.CallSubmit {
				delete(n.calls, number)
				n.core.Abandon(n.now(), number, id)
			}
		}
		n.perform()
	})
}

// abandonCall reports to the coordinator that the client has closed the connection of one call.
func (n *coordinatorNode) abandonCall(c *nodeCall) {
	incarnation := n.incarnation
	n.postFrom(string(c.id), incarnation, func() {
		if n.calls[c.number] == c {
			delete(n.calls, c.number)
			n.core.Abandon(n.now(), c.number, c.id)
		}
		n.dropForwarded(c)
		n.perform()
	})
}

// ownerOf returns the coordinator that owns the job's partition by its own account, the one with
// the highest epoch if there are several; nil if there is none.
func (w *world) ownerOf(id durable.JobID) *coordinatorNode {
	var best *coordinatorNode
	newest := uint64(0)
	for _, n := range w.coordinators {
		epoch, ok := n.epochs[id.Partition(w.partitions)]
		if ok && n.alive && epoch >= newest {
			best, newest = n, epoch
		}
	}
	return best
}

// start begins a new incarnation, which has nothing of the former one.
func (n *coordinatorNode) start() {
	n.alive, n.paused, n.stalled = true, false, false
	n.incarnation++
	n.inbox, n.tickDue = nil, nil
	n.handling, n.performFunc = false, n.perform
	n.onStall, n.lastHandled = nil, time.Time{}
	n.newClock()
	n.core = scheduler.New(n.w.cfg.Core(n.w.dataCentreOf(0)), n.w.random.Uint64())
	n.owned = ownership.New(1200 * time.Millisecond)
	n.epochs = make(map[uint32]uint64)
	n.append = make(map[uint32]*store.AppendTracker)
	n.loading = make(map[uint32]takingOver)
	n.earlier = make(map[uint32][]durable.Term)
	n.conns = make(map[string]*conn)
	n.chosen, n.chosenAt, n.widening = nil, time.Time{}, subset.Widening{}
	n.dialing = make(map[string]bool)
	n.calls = make(map[scheduler.Call]*nodeCall)
	for _, worker := range n.w.workers {
		n.core.WorkerKnown(n.now(), worker.name)
	}
	n.later(n.w.between(0, 50*time.Millisecond), n.join)
	n.nextTick(n.tick)
	n.followOperators()
	n.startPeers()
	n.startClaims()
}

// kill ends the process. Its connections close at once.
func (n *coordinatorNode) kill() {
	n.alive = false
	n.endPeers()
	n.endClaims()
	for _, c := range ordered.Values(n.conns) {
		c.closed = true
		c.to.postFrom(c.name, c.incarnations[1], func() { c.to.removeConn(c) })
	}
}

func (n *coordinatorNode) tick() {
	n.chooseWorkers()
	n.dial()
	n.updateSuspended()
	n.endEarlierTerms()
	n.beginTickPeers()
	n.core.Tick(n.now())
	n.tickPeers()
	if n.claimant != nil {
		n.claimant.tick()
	}
	n.perform()
	n.nextTick(n.tick)
}

func (n *coordinatorNode) message(c *conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.WorkerStatus:
		n.core.Status(n.now(), c.to.name, m)
	case *wire.RunEnds:
		n.core.Ends(n.now(), c.to.name, m)
	case *wire.ReportPending:
		n.core.ReportPending(n.now(), c.to.name, m)
	case *wire.PartitionRuns:
		n.core.Runs(n.now(), c.to.name, m)
	}
	n.perform()
}

// perform carries out the effects of the core's decisions, after the batch if one is being handled.
func (n *coordinatorNode) perform() {
	if n.handling {
		return
	}
	if n.claimant != nil {
		n.claimant.perform()
	}
	e := n.core.Take(n.now())
	for _, note := range e.Notes {
		n.w.trace(n.fullName(), note.Task+string(note.Job), "%s run %d %s %s %d", note.What, note.Run, note.Worker, note.Reason, note.Value)
	}
	for _, c := range e.Commits {
		n.commit(c)
	}
	for _, s := range e.Sends {
		if c := n.conns[s.Worker]; c != nil {
			c.toWorker(s.Message)
		}
	}
	if len(e.Crashes) > 0 {
		n.sendCrashReport(&wire.CrashReport{Crashes: e.Crashes})
	}
	for _, r := range e.Replies {
		if call := n.calls[r.Call]; call != nil {
			delete(n.calls, r.Call)
			n.answer(call, r)
		}
	}
	for _, name := range e.Reconnect {
		if c := n.conns[name]; c != nil {
			n.disconnect(c)
		}
	}
}

// sendCrashReport sends a report of crashes to the other coordinators that can be reached.
func (n *coordinatorNode) sendCrashReport(m *wire.CrashReport) {
	for _, o := range n.w.coordinators {
		if o == n || !n.w.reaches(n.name, o.name) {
			continue
		}
		incarnation := o.incarnation
		n.w.after(time.Millisecond, func() { o.post(incarnation, func() { o.core.RecordCrashes(o.now(), m) }) })
	}
}
