package promises

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
)

// stallFor has the control goroutine of the process handle no events for d. Its other goroutines
// run: what they post waits, and connections stay open.
func (p *process) stallFor(d time.Duration) {
	if !p.alive || p.paused || p.stalled {
		return
	}
	p.stalled = true
	p.w.counts["stalled goroutines"]++
	p.w.trace(p.fullName(), ".0", "handles nothing for %v", d)
	incarnation := p.incarnation
	p.w.after(d, func() {
		if p.incarnation == incarnation && p.alive && p.stalled {
			p.catchUp()
		}
	})
}

// freezeFor stops the whole process for d.
func (p *process) freezeFor(d time.Duration) {
	if !p.alive || p.paused || p.stalled {
		return
	}
	p.pause()
	p.w.counts["frozen processes"]++
	p.w.trace(p.fullName(), ".0", "is frozen for %v", d)
	incarnation := p.incarnation
	p.w.after(d, func() {
		if p.incarnation == incarnation && p.paused {
			p.wake()
		}
	})
}

// catchUp handles the events that have waited, and a due tick before or after them, as lib/loop
// does. After a stall the control goroutine handles all events in one batch, in the order in which
// they came. After a pause of the whole process events arrive a few at a time, and the streams in
// any order.
func (p *process) catchUp() {
	frozen := !p.stalled
	p.stalled = false
	p.w.trace(p.fullName(), ".0", "handles %d events", len(p.inbox))
	p.checkStall()
	tick := p.tickDue
	p.tickDue = nil
	if tick != nil && p.w.chance(0.5) {
		tick()
		tick = nil
	}
	inbox := p.inbox
	p.inbox = nil
	if frozen {
		inbox = p.w.shuffled(inbox)
	}
	for len(inbox) > 0 {
		n := len(inbox)
		if frozen {
			n = 1 + p.w.random.IntN(n)
		}
		p.handle(inbox[:n])
		inbox = inbox[n:]
	}
	if tick != nil {
		tick()
	}
}

// shuffled returns the events in a random order in which each stream keeps its own order.
func (w *world) shuffled(events []pendingEvent) []pendingEvent {
	streams := make(map[string][]int)
	for i, e := range events {
		streams[e.stream] = append(streams[e.stream], i)
	}
	out := make([]pendingEvent, len(events))
	for i, k := range w.random.Perm(len(events)) {
		out[k] = events[i]
	}
	for stream, in := range streams {
		if stream == "" {
			continue
		}
		next := 0
		for k := range out {
			if out[k].stream == stream {
				out[k] = events[in[next]]
				next++
			}
		}
	}
	return out
}

// handle handles a batch of events and then performs the effects of the decisions.
func (p *process) handle(events []pendingEvent) {
	p.handling = true
	for _, e := range events {
		e.do()
	}
	p.handling = false
	p.performFunc()
}

// Bounds of a stall.
const (
	minStall = 50 * time.Millisecond
	maxStall = 4 * time.Second
)

// stallOne stalls the control goroutine of one process, mostly for less than a second.
func (w *world) stallOne() { w.delayOne((*process).stallFor) }

// freezeOne stops one whole process, mostly for less than a second.
func (w *world) freezeOne() { w.delayOne((*process).freezeFor) }

// delayOne stalls or freezes a random process for a random time.
func (w *world) delayOne(delay func(p *process, d time.Duration)) {
	d := w.between(minStall, time.Second)
	if w.chance(0.3) {
		d = w.between(time.Second, maxStall)
	}
	n := w.random.IntN(coordinatorCount + workerCount)
	if n < coordinatorCount {
		delay(&w.coordinators[n].process, d)
		return
	}
	delay(&w.workers[n-coordinatorCount].process, d)
}

// Constants of the cases with reordered calls: each call has a connection of its own, so that it
// may overtake others, and so may its answer.
const (
	reorderShare    = 0.2
	maxReorderDelay = 90 * time.Millisecond // more than the time limit of a call
)

// renewWait returns how long the backend server holds the renewal. Only where calls are reordered
// does it hold renewals at all.
func (w *world) renewWait(call runtable.RenewCall) time.Duration {
	if !w.reorderCalls {
		return 0
	}
	return call.Wait
}
