// Package loop runs the one goroutine of a process that owns its control
// state. Other goroutines tell it what happens by events. It owns the queue of events
// and relies on the steps that it is given not to block.
package loop

import "time"

// batch is how many events are handled before their effects are performed. Some milliseconds
// of work.
const batch = 512

// resumedLeast is how long a box has to be suspended to be called so. Less than any limit in a
// core.
const resumedLeast = 5 * time.Millisecond

// MinStall is how late a loop has to be for Steps.Stalled. Half of the shortest limit that other
// processes set on what a process says.
const MinStall = 100 * time.Millisecond

// Clock tells the time of a loop's steps.
type Clock interface {
	Now() time.Time
	// Suspended returns for how long the box has been suspended so far, as of the last Now.
	Suspended() time.Duration
}

// Loop carries events of type E to the goroutine that runs it.
type Loop[E any] struct {
	events    chan E
	done      chan struct{}
	suspended time.Duration // by the Clock, when Resumed was called last
	every     time.Duration // between ticks
	lookedAt  time.Time     // at the time; zero before the first
}

// Steps is what the goroutine does. All are called by it alone.
type Steps[E any] struct {
	Clock Clock // nil for that of package time, which knows of no suspensions
	// Resumed is called before anything else that happens after the box was suspended for
	// so long; nil if that is nothing to the process.
	Resumed func(now time.Time, suspended time.Duration)
	// Stalled is called before anything else that happens after the goroutine has looked at the
	// time for so much longer than a tick, MinStall or more: a step took long, or the process
	// was held up. nil if that is nothing to the process.
	Stalled func(now time.Time, by time.Duration)
	Handle  func(now time.Time, e E)
	Tick    func(now time.Time) // every so often
	Perform func(now time.Time) // after events or a tick: do what was decided
}

// New returns a loop of which so many events may wait to be handled; whoever
// posts more has to wait.
func New[E any](backlog int) *Loop[E] {
	return &Loop[E]{events: make(chan E, backlog), done: make(chan struct{})}
}

// Post hands an event over. After the end of the loop it is dropped.
func (l *Loop[E]) Post(e E) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// Done is closed when the loop has ended.
func (l *Loop[E]) Done() <-chan struct{} { return l.done }

// Run handles events until halt is closed. Events that have come together are
// handled together, so that their effects go out together without delay.
func (l *Loop[E]) Run(halt <-chan struct{}, every time.Duration, s Steps[E]) {
	defer close(l.done)
	l.every = every
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-halt:
			return
		case <-tick.C:
			s.Tick(l.now(&s))
		case e := <-l.events:
			s.Handle(l.now(&s), e)
			l.handleMore(s)
		}
		s.Perform(l.now(&s))
	}
}

// now returns the present time, and has it told first if the goroutine is late.
func (l *Loop[E]) now(s *Steps[E]) time.Time {
	now := l.read(s)
	before := l.lookedAt
	l.lookedAt = now
	if by := now.Sub(before) - l.every; s.Stalled != nil && !before.IsZero() && by >= MinStall {
		s.Stalled(now, by)
	}
	return now
}

// read reads the clock, and has it told first if the box was suspended.
func (l *Loop[E]) read(s *Steps[E]) time.Time {
	if s.Clock == nil {
		return time.Now()
	}
	now := s.Clock.Now()
	if total := s.Clock.Suspended(); total-l.suspended >= resumedLeast {
		suspended := total - l.suspended
		l.suspended = total
		if s.Resumed != nil {
			s.Resumed(now, suspended)
		}
	}
	return now
}

func (l *Loop[E]) handleMore(s Steps[E]) {
	for range batch {
		select {
		case e := <-l.events:
			s.Handle(l.now(&s), e)
		default:
			return
		}
	}
}

// Call posts the event that question makes and returns the answer to it; ok is
// false when the loop has ended instead.
func Call[E, R any](l *Loop[E], question func(answer chan<- R) E) (r R, ok bool) {
	answer := make(chan R, 1)
	l.Post(question(answer))
	select {
	case r = <-answer:
		return r, true
	case <-l.done:
		return r, false
	}
}
