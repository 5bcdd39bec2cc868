// Package loop runs the goroutine of a process that owns the control state. Other goroutines send
// events to it. The package owns the queue of events, and relies on the functions in Steps not to
// block.
package loop

import "time"

// maxBatch is how many queued events are handled before Steps.Perform is called. They take some
// milliseconds.
const maxBatch = 512

// minSuspension is the shortest suspension of the box for which Steps.Resumed is called. It is less
// than any timeout in a core.
const minSuspension = 5 * time.Millisecond

// MinStall is the shortest stall of the goroutine for which Steps.Stalled is called. It is half of the
// shortest time within which other processes expect a message from this one.
const MinStall = 100 * time.Millisecond

// Clock is the time source of a loop.
type Clock interface {
	Now() time.Time
	// Suspended returns the total time for which the box has been suspended so far, as of the
	// latest Now.
	Suspended() time.Duration
}

// Loop is a queue of events of type E and the goroutine that handles them, which calls Run.
type Loop[E any] struct {
	events    chan E
	done      chan struct{}
	suspended time.Duration // Clock.Suspended at the latest call of Steps.Resumed
	interval  time.Duration // between ticks
	lastRead  time.Time     // the latest reading of the clock; zero before the first
}

// Steps are the functions of a Loop. Only its goroutine calls them.
type Steps[E any] struct {
	Clock Clock // nil for time.Now, with which Resumed is never called
	// Resumed is called once after a suspension of the box, before any other step; suspended is
	// the duration of the suspension. It may be nil.
	Resumed func(now time.Time, suspended time.Duration)
	// Stalled is called, before any other step, if the time between two readings of the clock
	// was longer than a tick by at least MinStall: a step took long, or the process was not
	// running. by is the time in excess of a tick. It may be nil.
	Stalled func(now time.Time, by time.Duration)
	Handle  func(now time.Time, e E)
	Tick    func(now time.Time) // called at the interval given to Run
	Perform func(now time.Time) // called after a tick or after a batch of events; carries out their effects
}

// New returns a loop with a queue of backlog events. Post blocks while the queue is full.
func New[E any](backlog int) *Loop[E] {
	return &Loop[E]{events: make(chan E, backlog), done: make(chan struct{})}
}

// Post queues an event. After the end of the loop the event is dropped.
func (l *Loop[E]) Post(e E) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// Done returns a channel that is closed when the loop has ended.
func (l *Loop[E]) Done() <-chan struct{} { return l.done }

// Run handles events until stop is closed. Events that are queued together are handled in one batch,
// so that their effects are carried out together and without delay.
func (l *Loop[E]) Run(stop <-chan struct{}, interval time.Duration, s Steps[E]) {
	defer close(l.done)
	l.interval = interval
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			s.Tick(l.now(&s))
		case e := <-l.events:
			s.Handle(l.now(&s), e)
			l.handleQueued(s)
		}
		s.Perform(l.now(&s))
	}
}

// now returns the present time. It first calls Steps.Resumed and Steps.Stalled if they are due.
func (l *Loop[E]) now(s *Steps[E]) time.Time {
	now := l.read(s)
	before := l.lastRead
	l.lastRead = now
	if by := now.Sub(before) - l.interval; s.Stalled != nil && !before.IsZero() && by >= MinStall {
		s.Stalled(now, by)
	}
	return now
}

// read returns the present time. It first calls Steps.Resumed if the box was suspended.
func (l *Loop[E]) read(s *Steps[E]) time.Time {
	if s.Clock == nil {
		return time.Now()
	}
	now := s.Clock.Now()
	if total := s.Clock.Suspended(); total-l.suspended >= minSuspension {
		suspended := total - l.suspended
		l.suspended = total
		if s.Resumed != nil {
			s.Resumed(now, suspended)
		}
	}
	return now
}

// handleQueued handles the events that are queued, at most maxBatch.
func (l *Loop[E]) handleQueued(s Steps[E]) {
	for range maxBatch {
		select {
		case e := <-l.events:
			s.Handle(l.now(&s), e)
		default:
			return
		}
	}
}

// Call posts the event that request returns, waits for the handler to send a value to answer, and
// returns that value. ok is false if the loop ended before.
func Call[E, R any](l *Loop[E], request func(answer chan<- R) E) (r R, ok bool) {
	answer := make(chan R, 1)
	l.Post(request(answer))
	select {
	case r = <-answer:
		return r, true
	case <-l.done:
		return r, false
	}
}
