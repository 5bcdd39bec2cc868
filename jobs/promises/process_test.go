package promises

import (
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/clock"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/wire"
)

type runtableEnd = runtable.ListedEnd

var errRefused = store.ErrRefused

const tickInterval = 20 * time.Millisecond

// process is what coordinators and workers have in common: it may be dead or
// paused. What is posted to a paused process waits for it.
type process struct {
	w           *world
	name        string
	incarnation int
	alive       bool
	paused      bool
	// late says that the control goroutine handles nothing, while the others live.
	stalled bool
	inbox   []pendingEvent
	tickDue func() // the tick that waits for a late control goroutine
	// handling says that events are handled together: what is decided is done after them.
	handling       bool
	performFunc    func()        // does what is decided
	suspendedTotal time.Duration // for which the box has been suspended so far
	clock          *clock.Clock  // of this life
	// counted is the suspended time that resumed, if there is such, has been told of.
	reportedTotal time.Duration
	onResume      func(now time.Time, suspended time.Duration)
	// lookedAt is when the control goroutine last looked at the time; wasLate, if there is such,
	// is told that it was late.
	lastHandled time.Time
	onStall     func(now time.Time, by time.Duration)
}

// newClock gives the process a clock for a new life.
func (p *process) newClock() {
	c, err := clock.New(p.w.now, boxClocks{p})
	if err != nil {
		p.w.violated("%s has no clock: %v", p.name, err)
	}
	p.clock, p.reportedTotal = c, 0
}

// sleepyClocks are the clocks of a box: the steady one stands still while the box is
// suspended.
type boxClocks struct{ p *process }

func (s boxClocks) Read() (steady, timeOfDay time.Duration) {
	timeOfDay = s.p.w.now.Sub(time.Unix(0, 0))
	return timeOfDay - s.p.suspendedTotal, timeOfDay
}

func (s boxClocks) Suspended() (time.Duration, error) { return s.p.suspendedTotal, nil }

// now returns the time by which the process decides.
func (p *process) now() time.Time {
	now := p.clock.Now()
	if total := p.clock.Suspended(); total > p.reportedTotal {
		suspended := total - p.reportedTotal
		p.reportedTotal = total
		if p.onResume != nil {
			p.onResume(now, suspended)
		}
	}
	return now
}

// look has the control goroutine look at the time before it does anything, as lib/loop does.
func (p *process) checkStall() {
	if p.onStall == nil {
		return
	}
	now := p.now()
	before := p.lastHandled
	p.lastHandled = now
	if by := now.Sub(before) - tickInterval; !before.IsZero() && by >= loop.LateLeast {
		p.onStall(now, by)
	}
}

// waiting is what a process is to do that handles nothing now.
type pendingEvent struct {
	stream string // what comes in one stream is handled in order; empty for what comes alone
	do     func()
}

// post has the process do something in this life.
func (p *process) post(incarnation int, do func()) { p.postFrom("", incarnation, do) }

// postFrom is post for what comes in a stream.
func (p *process) postFrom(stream string, incarnation int, do func()) {
	if !p.alive || incarnation != p.incarnation {
		return
	}
	if p.paused || p.stalled {
		p.inbox = append(p.inbox, pendingEvent{stream, do})
		return
	}
	p.checkStall()
	do()
}

// nextTick has the process look at the time a while later.
func (p *process) nextTick(do func()) {
	incarnation := p.incarnation
	p.w.after(tickInterval, func() {
		if (p.stalled || p.paused && p.w.shuffleInbox) && p.alive && incarnation == p.incarnation {
			p.tickDue = do
			return
		}
		p.post(incarnation, do)
	})
}

func (p *process) later(d time.Duration, do func()) {
	incarnation := p.incarnation
	p.w.after(d, func() { p.post(incarnation, do) })
}

func (p *process) pause() { p.paused = true }

// suspendFor suspends the box of the process. Its backend server runs on.
func (p *process) suspendFor(d time.Duration) {
	if !p.alive || p.paused {
		return
	}
	p.pause()
	began, incarnation := p.w.now, p.incarnation
	p.w.after(d, func() {
		if p.incarnation == incarnation && p.paused {
			p.suspendedTotal += p.w.now.Sub(began)
			p.wake()
		}
	})
}

func (p *process) wake() {
	p.paused = false
	if p.w.shuffleInbox {
		p.catchUp()
		return
	}
	inbox := p.inbox
	p.inbox = nil
	for _, m := range inbox {
		p.checkStall()
		m.do()
	}
}

func (p *process) fullName() string { return fmt.Sprintf("%s/%d", p.name, p.incarnation) }

// conn is a connection from a coordinator to a worker.
type conn struct {
	from         *coordinatorNode
	to           *workerNode
	incarnations [2]int
	name         string
	closed       bool         // closed, and both sides know
	silent       bool         // stuck, and nobody knows
	last         [2]time.Time // when the newest message each way arrives
	held         []func()     // messages to the worker that a cut holds up, where the world's links deliver late
}

// toCoordinator carries a message, in order, unless the link is cut.
func (c *conn) toCoordinator(m wire.Message) {
	c.carry(1, c.to.name, c.from.name, func() {
		c.from.postFrom(c.name, c.incarnations[0], func() {
			if c.from.conns[c.to.name] == c {
				c.from.message(c, m)
			}
		})
	})
}

func (c *conn) toWorker(m wire.Message) {
	c.carry(0, c.from.name, c.to.name, func() {
		c.to.postFrom(c.name, c.incarnations[1], func() {
			if c.to.conns[c.name] == c {
				c.to.message(c, m)
			}
		})
	})
}

func (c *conn) carry(way int, from, to string, deliver func()) {
	w := c.from.w
	if !w.reaches(from, to) {
		c.silent = true // nothing passes any more: a stream has no gaps
	}
	if c.silent && !c.closed && way == 0 && w.lateLinks {
		c.held = append(c.held, deliver)
	}
	if c.closed || c.silent {
		return
	}
	at := w.now.Add(w.between(200*time.Microsecond, 3*time.Millisecond))
	if w.chance(0.01) {
		at = at.Add(w.between(0, 300*time.Millisecond))
	}
	if at.Before(c.last[way]) {
		at = c.last[way]
	}
	c.last[way] = at
	w.after(at.Sub(w.now), deliver)
}

// lapsedSince returns whether the lease has been over since the time.
func (b *backendNode) lapsedSince(at time.Time) bool { return !b.lapsedAt.Before(at) }
