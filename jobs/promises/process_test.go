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

// process is what coordinators and workers have in common. It may be dead, paused or stalled. An
// event that is posted to a paused or stalled process waits until it resumes.
type process struct {
	w           *world
	name        string
	incarnation int
	alive       bool
	paused      bool
	// stalled says that the control goroutine handles no events while the other goroutines of the
	// process run.
	stalled bool
	inbox   []pendingEvent
	tickDue func() // the tick that waits until a stall or pause ends
	// handling says that a batch of events is being handled: the effects of their decisions are
	// performed after the batch.
	handling       bool
	performFunc    func()        // performs the effects
	suspendedTotal time.Duration // how long the box has been suspended so far
	clock          *clock.Clock  // of this incarnation
	// reportedTotal is the part of the suspended time that was reported to onResume, which may be
	// nil.
	reportedTotal time.Duration
	onResume      func(now time.Time, suspended time.Duration)
	// lastHandled is when the control goroutine last handled an event. onStall, which may be nil,
	// is called with the length of a stall.
	lastHandled time.Time
	onStall     func(now time.Time, by time.Duration)
}

// newClock gives the process a clock for a new incarnation.
func (p *process) newClock() {
	c, err := clock.New(p.w.now, boxClocks{p})
	if err != nil {
		p.w.violated("%s has no clock: %v", p.name, err)
	}
	p.clock, p.reportedTotal = c, 0
}

// boxClocks are the clocks of a box. The monotonic clock stands still while the box is suspended,
// the time of day does not.
type boxClocks struct{ p *process }

func (s boxClocks) Read() (steady, timeOfDay time.Duration) {
	timeOfDay = s.p.w.now.Sub(time.Unix(0, 0))
	return timeOfDay - s.p.suspendedTotal, timeOfDay
}

func (s boxClocks) Suspended() (time.Duration, error) { return s.p.suspendedTotal, nil }

// now returns the time by which the process decides, and reports a suspension since the last call.
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

// checkStall reports a stall of the control goroutine before it handles an event, as lib/loop does.
func (p *process) checkStall() {
	if p.onStall == nil {
		return
	}
	now := p.now()
	before := p.lastHandled
	p.lastHandled = now
	if by := now.Sub(before) - tickInterval; !before.IsZero() && by >= loop.MinStall {
		p.onStall(now, by)
	}
}

// pendingEvent is an event that waits for a paused or stalled process.
type pendingEvent struct {
	stream string // events of one stream are handled in order; empty for an event of no stream
	do     func()
}

// post has the process handle an event, unless the incarnation has ended.
func (p *process) post(incarnation int, do func()) { p.postFrom("", incarnation, do) }

// postFrom has the process handle an event of a stream, unless the incarnation has ended. Events of
// one stream keep their order.
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

// nextTick schedules the next tick of the process.
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

// later posts an event to the process d from now.
func (p *process) later(d time.Duration, do func()) {
	incarnation := p.incarnation
	p.w.after(d, func() { p.post(incarnation, do) })
}

func (p *process) pause() { p.paused = true }

// suspendFor suspends the box of the process for d. The backend server of a worker runs on.
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

// wake resumes a paused process, which handles the events of the pause.
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

// fullName returns the name of the process with the number of its incarnation.
func (p *process) fullName() string { return fmt.Sprintf("%s/%d", p.name, p.incarnation) }

// conn is a connection from a coordinator to a worker. Where a pair has an index, 0 is the
// coordinator's and 1 the worker's, or the direction to the worker and back.
type conn struct {
	from         *coordinatorNode
	to           *workerNode
	incarnations [2]int
	name         string
	closed       bool         // at both ends
	silent       bool         // carries nothing any more, and neither end knows
	last         [2]time.Time // when the latest message of each direction arrives
	held         []func()     // messages to the worker that arrive after the cut, if lateLinks
}

// toCoordinator carries a message to the coordinator, after those before it, unless the link is
// cut.
func (c *conn) toCoordinator(m wire.Message) {
	c.carry(1, c.to.name, c.from.name, func() {
		c.from.postFrom(c.name, c.incarnations[0], func() {
			if c.from.conns[c.to.name] == c {
				c.from.message(c, m)
			}
		})
	})
}

// toWorker carries a message to the worker, after those before it, unless the link is cut.
func (c *conn) toWorker(m wire.Message) {
	c.carry(0, c.from.name, c.to.name, func() {
		c.to.postFrom(c.name, c.incarnations[1], func() {
			if c.to.conns[c.name] == c {
				c.to.message(c, m)
			}
		})
	})
}

// carry has a message delivered in the direction way, after the earlier ones. One that is sent into
// a cut is lost, and with it all later ones of the connection.
func (c *conn) carry(way int, from, to string, deliver func()) {
	w := c.from.w
	if !w.reaches(from, to) {
		// A stream has no gaps: after a lost message nothing is delivered any more.
		c.silent = true
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
	if until := w.heldUntil[link{from, to}]; at.Before(until) {
		w.counts["held messages"]++
		at = until
	}
	if at.Before(c.last[way]) {
		at = c.last[way]
	}
	c.last[way] = at
	w.after(at.Sub(w.now), deliver)
}

// lapsedSince returns whether the lease has expired at or after the time.
func (b *backendNode) lapsedSince(at time.Time) bool { return !b.lapsedAt.Before(at) }
