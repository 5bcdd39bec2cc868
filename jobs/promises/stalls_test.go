package promises

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/runtable"
)

// lateFor has the control goroutine of the process handle nothing for so long. Its other
// goroutines live: what they post waits, and connections stay.
func (p *process) stallFor(d time.Duration) {
	if !p.alive || p.paused || p.stalled {
		return
	}
	p.stalled = true
	p.w.counts["late goroutines"]++
	p.w.trace(p.fullName(), ".0", "handles nothing for %v", d)
	incarnation := p.incarnation
	p.w.after(d, func() {
		if p.incarnation == incarnation && p.alive && p.stalled {
			p.catchUp()
		}
	})
}

// freezeFor has the whole process stand still for so long.
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

// catchUp handles what has waited in the order in which it came, and a tick before or after,
// as lib/loop does. What a late control goroutine finds it handles together. After a pause of
// the whole process events come in a few at a time, and the streams in any order.
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

// mixed returns the events in another order in which each stream keeps its own.
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

// handle handles events together, and then does what is decided.
func (p *process) handle(events []pendingEvent) {
	p.handling = true
	for _, e := range events {
		e.do()
	}
	p.handling = false
	p.performFunc()
}

// Bounds of how late control goroutines are.
const (
	minStall = 50 * time.Millisecond
	maxStall = 4 * time.Second
)

// lateSome has the control goroutine of one process be late: mostly for less than a second.
func (w *world) stallOne() { w.delayOne((*process).stallFor) }

// freezeSome has one whole process stand still as long.
func (w *world) freezeOne() { w.delayOne((*process).freezeFor) }

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

// What cases with calls that cross have beside the others: each call goes over a connection of
// its own, so that it may overtake others, and its answer too.
const (
	reorderShare    = 0.2
	maxReorderDelay = 90 * time.Millisecond // more than the limit of a call
)

// waitOf returns how long the renewal waits at the backend server. Only where calls cross does
// it wait at all.
func (w *world) renewWait(call runtable.RenewCall) time.Duration {
	if !w.reorderCalls {
		return 0
	}
	return call.Wait
}
