// Package runtable is the core of a worker: the runs of tasks on one backend
// server, the lease that keeps them alive, and the leases of the coordinators
// that own them. It does no I/O and reads no clock.
//
// A run whose owner is out of reach must be known to be dead before another
// worker may start the task again. So when an owner's lease ends while runs or
// untold ends of its partitions are here, the table lets the backend server's
// lease lapse, which ends everything there; the owner waits that long.
package runtable

import (
	"cmp"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Settings of a Table.
type Settings struct {
	Partitions uint32        // of the job store
	OwnerLease time.Duration // how long an owner's heartbeat holds
	HoldLease  time.Duration // longest lease that the backend server grants
	HoldRenew  time.Duration // longest wait of one HoldCall
	Silence    time.Duration // without an answer after which the backend server is called silent
	Drift      float64       // by how much the backend server's clock may run slow, such as 0.02
	StartLimit time.Duration // after which an unanswered start is given up and sealed
	MaxWaiting int           // runs that may wait for room
	FirstLease time.Duration // owner lease that a fresh process assumes
	// BestEffortLease is the OwnerLease of jobs that are not kept: they must be
	// gone before their callers send them again.
	BestEffortLease time.Duration
	StopGrace       time.Duration // from the end of an owner's lease: time to stop its runs one by one
}

// recentFor is how long the ends of best-effort runs are remembered, for an
// owner whose connection broke.
const recentFor = 5 * time.Second

// Table is the core of one worker.
type Table struct {
	cfg   Settings
	epoch time.Time // when the process began; stamps count from it

	identity  Identity
	known     bool   // identity holds a life
	token     uint64 // fencing token; 0 until the backend server's clock is known
	clock     time.Duration
	clockAt   time.Time
	firstHold bool // a hold with our token has been answered
	adopted   time.Time

	runs    map[wire.RunRef]*run
	waiting []*run
	ends    map[uint64]*end
	seen    uint64 // greatest number of an end that was listed
	acked   uint64 // every end up to it is kept

	holdSeq   uint64
	leaseEnds time.Time // when the backend server's lease is over for certain
	lapsing   bool
	silent    bool          // the backend server does not answer
	granted   time.Duration // the end of the lease that was asked for last, on its clock
	noRoomAt  time.Time

	scopes map[scope]*ownership
	recent map[wire.RunRef]recentEnd
	owners map[string]*owner

	effects Effects
}

// scope is what an owner owns: a partition, or the best-effort jobs of the
// coordinator process of that name.
type scope struct {
	partition uint32
	member    string // empty for a partition
}

// recentEnd is the end of a best-effort run.
type recentEnd struct {
	told wire.RunEnd
	at   time.Time
}

// ownership is who owns a scope, as far as this worker was told.
type ownership struct {
	epoch   uint64
	owner   string
	expires time.Time
	told    bool // the owner has had all that is known of the partition
	// condemned is when the runs were told to stop since the lease is over; zero
	// while it is not.
	condemned time.Time
}

// owner is a connected coordinator.
type owner struct {
	member       string
	claims       []wire.RunRef // to be answered as soon as all is known
	heartbeatSeq uint64
	startSeq     uint64
	fenced       []uint32
	dirty        bool // wants a status
	identified   bool // has had the identity in force
}

type runState uint8

const (
	runWaiting runState = iota
	runStarting
	runRunning
	runStopping  // a stop is on its way
	runResolving // sealed; the next hold tells whether it ran
)

// run is one run of a task here.
type run struct {
	order     wire.RunOrder
	scope     scope
	state     runState
	due       time.Time
	firstSent time.Time
	started   time.Time
	resolve   uint64 // a hold later than this one decides
	stop      bool   // stop as soon as the start is answered
	// unanswered is set when an order had no answer: it may be carried out late.
	unanswered bool
	straggled  bool // was stopped since it was over its limit
}

// end is an end that the backend server remembers.
type end struct {
	number uint64
	scope  scope
	told   wire.RunEnd
	kept   bool
}

// Send is a message to a connected owner.
type Send struct {
	Owner   string
	Message wire.Message
}

// Effects is what has to be done.
type Effects struct {
	Sends  []Send
	Starts []StartCall
	Stops  []StopCall
	Notes  []Note
	Hold   bool // ask for a HoldCall soon
}

// Note is a decision worth a line in the log.
type Note struct {
	What   string
	Ref    wire.RunRef
	Reason string
	Usual  bool // one of many in ordinary work or in one trouble
}

// New returns a table; now is when the process began.
func New(cfg Settings, now time.Time) *Table {
	return &Table{
		cfg:    cfg,
		epoch:  now,
		runs:   make(map[wire.RunRef]*run),
		ends:   make(map[uint64]*end),
		scopes: make(map[scope]*ownership),
		recent: make(map[wire.RunRef]recentEnd),
		owners: make(map[string]*owner),
	}
}

// Take returns what has to be done since the last call.
func (t *Table) Take(now time.Time) Effects {
	t.startWaiting(now)
	t.tellStatus(now)
	e := t.effects
	t.effects = Effects{}
	return e
}

func (t *Table) note(what string, ref wire.RunRef, reason string) {
	t.effects.Notes = append(t.effects.Notes, Note{What: what, Ref: ref, Reason: reason})
}

// noteUsual notes a decision of which there may be many.
func (t *Table) noteUsual(what string, ref wire.RunRef, reason string) {
	t.effects.Notes = append(t.effects.Notes, Note{What: what, Ref: ref, Reason: reason, Usual: true})
}

func (t *Table) send(owner string, m wire.Message) {
	t.effects.Sends = append(t.effects.Sends, Send{owner, m})
}

// Identity returns the life that the table speaks of.
func (t *Table) Identity() Identity { return t.identity }

// Identify tells the table of the backend server's life. A new life ends
// everything of the one before.
func (t *Table) Identify(now time.Time, id Identity) {
	if t.known && id.Instance != t.identity.Instance {
		t.lifeOver(now, "new_instance")
	}
	before, known := t.identity, t.known
	if id.Capacity == (durable.Resources{}) {
		id.Capacity = t.identity.Capacity
		id.Service = t.identity.Service
		id.Labels = t.identity.Labels
	}
	t.identity = id
	t.known = true
	if known && before.same(&id) {
		return
	}
	for _, o := range t.owners {
		o.identified = false
	}
	t.touchAll()
	t.effects.Hold = true
}

// lifeOver ends all runs: the process that ran them is gone.
func (t *Table) lifeOver(now time.Time, reason string) {
	t.note("backend_lost", wire.RunRef{}, reason)
	for _, ref := range t.refs() {
		r := t.runs[ref]
		t.endRun(now, r, wire.EndLost, reason)
		delete(t.runs, ref)
	}
	t.waiting = nil
	t.ends = make(map[uint64]*end)
	t.seen, t.acked = 0, 0
	t.token = 0
	t.clock, t.clockAt = 0, time.Time{}
	t.granted = 0
	t.silent = false
	t.firstHold = false
	t.lapsing = false
	t.known = false
	t.identity.Ready = false
	t.touchAll()
}

// endRun tells the owner of an end that the backend server does not list.
func (t *Table) endRun(now time.Time, r *run, how wire.End, reason string) {
	p := t.scopes[r.scope]
	if p == nil {
		return
	}
	t.note("run_"+how.String(), r.order.Ref, reason)
	t.tell(p.owner, wire.RunEnd{Ref: r.order.Ref, How: uint8(how), Reason: reason, RunMS: r.age(now)})
}

func (r *run) age(now time.Time) int64 {
	if r.started.IsZero() {
		return 0
	}
	return now.Sub(r.started).Milliseconds()
}

// tell adds an end to the message that goes to the owner.
func (t *Table) tell(to string, e wire.RunEnd) {
	o := t.owners[to]
	if o == nil {
		return
	}
	o.dirty = true
	for i := range t.effects.Sends {
		s := &t.effects.Sends[i]
		if m, ok := s.Message.(*wire.RunEnds); ok && s.Owner == to {
			m.Ends = append(m.Ends, e)
			return
		}
	}
	t.send(to, &wire.RunEnds{Ends: []wire.RunEnd{e}})
}

// refs returns the runs here, in their order.
func (t *Table) refs() []wire.RunRef {
	return ordered.KeysFunc(t.runs, func(a, b wire.RunRef) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
			cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run))
	})
}

func compareScopes(a, b scope) int {
	return cmp.Or(cmp.Compare(a.partition, b.partition), cmp.Compare(a.member, b.member))
}

// used returns what runs and waits here take.
func (t *Table) used() (running, waiting durable.Resources) {
	for _, r := range t.runs {
		if r.state == runWaiting {
			waiting = waiting.Add(r.order.Need)
		} else {
			running = running.Add(r.order.Need)
		}
	}
	return running, waiting
}

// free returns what neither runs nor waits take; it may be negative.
func (t *Table) free() durable.Resources {
	running, waiting := t.used()
	return t.identity.Capacity.Sub(running).Sub(waiting)
}

// startWaiting starts what fits, in the order in which it is due.
func (t *Table) startWaiting(now time.Time) {
	if !t.canStart() || len(t.waiting) == 0 || now.Sub(t.noRoomAt) < noRoomPause {
		return
	}
	running, _ := t.used()
	room := t.identity.Capacity.Sub(running)
	slices.SortStableFunc(t.waiting, func(a, b *run) int { return a.due.Compare(b.due) })
	left := t.waiting[:0]
	for i, r := range t.waiting {
		if !r.order.Need.Fits(room) {
			left = append(left, t.waiting[i:]...)
			break
		}
		room = room.Sub(r.order.Need)
		r.state = runStarting
		r.firstSent = now
		t.sendStart(now, r)
	}
	t.waiting = left
}

// noRoomPause is how long nothing is started after the backend server had
// less room than we thought.
const noRoomPause = 20 * time.Millisecond

func (t *Table) canStart() bool {
	return t.known && t.identity.Ready && t.firstHold && !t.lapsing && !t.silent
}

func (t *Table) sendStart(now time.Time, r *run) {
	t.effects.Starts = append(t.effects.Starts, StartCall{
		Instance:   t.identity.Instance,
		Ref:        r.order.Ref,
		Spec:       r.order.Spec,
		Deadline:   t.deadline(now),
		Token:      t.token,
		Checkpoint: r.order.Checkpoint,
	})
}

// deadline returns the end of a lease that begins now, on the backend server's
// clock, and notes until when it may hold. That of a silent one is not renewed.
func (t *Table) deadline(now time.Time) time.Duration {
	if t.silent {
		return t.granted
	}
	t.leaseEnds = now.Add(time.Duration(float64(t.cfg.HoldLease) * (1 + t.cfg.Drift)))
	t.granted = t.clock + now.Sub(t.clockAt) + t.cfg.HoldLease
	return t.granted
}
