// Package fakebackend is a stand-in for a backend server that runs tasks under a
// lease. It owns a journal of all that it ran, from which tests tell whether a task
// ran twice, and keeps its own clock.
package fakebackend

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// Backend is a stand-in for a backend server that runs tasks under a lease, in
// the worker's process. It is a worker.Backend.
type Backend struct {
	Capacity durable.Resources
	Service  string
	TaskTime time.Duration // how long each run takes
	// TaskTimeOf, where it is set, is how long a run of the task takes. It and StopGrace are set
	// before the first call.
	TaskTimeOf func(durable.TaskID) time.Duration
	StopGrace  time.Duration // for how long a run goes on that is told to stop

	mu       sync.Mutex
	instance string
	reports  uint64 // heartbeats so far
	born     time.Time
	token    uint64
	deadline time.Duration // of the lease, on its own clock
	running  map[wire.RunRef]listedRun
	newest   map[durable.TaskID]uint32
	ended    []runtable.ListedEnd
	numbers  uint64
	starts   map[durable.TaskID]int
	journal  []Run
}

type listedRun struct {
	ends  time.Time
	how   wire.End // it ends then
	entry int      // in the journal
}

// Run is one run that a Backend carried out.
type Run struct {
	Ref       wire.RunRef
	Began     time.Time
	Ended     time.Time // zero while it runs
	How       wire.End  // once it has ended
	EndNumber uint64    // of its end
	AckedAt   time.Time // when the worker was done with its end; zero before, and if the lease lapsed in between
}

// Journal returns all runs of its life, in the order of their starts.
func (l *Backend) Journal() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	return slices.Clone(l.journal)
}

// holdStep is how often a hold that waits looks for ends.
const holdStep = 2 * time.Millisecond

// New returns an idle backend server.
func New(service string, capacity durable.Resources, work time.Duration) *Backend {
	return &Backend{
		Capacity: capacity,
		Service:  service,
		TaskTime: work,
		instance: uuid.NewString(),
		born:     time.Now().Add(-time.Second),
		running:  make(map[wire.RunRef]listedRun),
		newest:   make(map[durable.TaskID]uint32),
		starts:   make(map[durable.TaskID]int),
	}
}

// Instance returns the name of its life.
func (l *Backend) Instance() string { return l.instance }

// Report returns what its next heartbeat says.
func (l *Backend) Report() runtable.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports++
	return runtable.Report{
		Number:   l.reports,
		Identity: runtable.Identity{Instance: l.instance, Service: l.Service, Ready: true, Capacity: l.Capacity},
	}
}

// Resize changes its capacity, of which its next heartbeat tells.
func (l *Backend) Resize(capacity durable.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Capacity = capacity
}

// percent returns how far the run has come.
func (l *Backend) percent(ref wire.RunRef) int {
	work := l.workOf(ref.Task)
	left := time.Until(l.running[ref].ends)
	return int(100 * (work - left) / work)
}

func (l *Backend) workOf(t durable.TaskID) time.Duration {
	if l.TaskTimeOf == nil {
		return l.TaskTime
	}
	return l.TaskTimeOf(t)
}

// Starts returns how often each task has been started.
func (l *Backend) Starts() map[durable.TaskID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[durable.TaskID]int, len(l.starts))
	for t, n := range l.starts {
		out[t] = n
	}
	return out
}

// Identify implements worker.Backend.
func (l *Backend) Identify(context.Context) (life runtable.Incarnation, ok bool) {
	return runtable.Incarnation{Instance: l.instance}, true
}

func (l *Backend) clock() time.Duration { return time.Since(l.born) }

// settle ends what has ended by now.
func (l *Backend) settle() {
	over := l.born.Add(l.deadline) // the lease
	for ref, r := range l.running {
		switch {
		case !time.Now().Before(r.ends) && !over.Before(r.ends):
			l.end(ref, r.how, r.ends)
		case time.Now().After(over):
			l.end(ref, wire.EndLapsed, over)
		}
	}
	if time.Now().After(over) {
		l.forgetNumbers()
	}
}

// forgetNumbers takes what has ended so far out of what can be noted: that an
// end is acknowledged after the lease has lapsed says nothing.
func (l *Backend) forgetNumbers() {
	for i := range l.journal {
		if e := &l.journal[i]; e.AckedAt.IsZero() {
			e.EndNumber = 0
		}
	}
}

func (l *Backend) end(ref wire.RunRef, how wire.End, at time.Time) {
	entry := &l.journal[l.running[ref].entry]
	entry.Ended, entry.How, entry.EndNumber = at, how, l.numbers+1
	delete(l.running, ref)
	l.newest[ref.Task] = max(l.newest[ref.Task], ref.Run)
	l.numbers++
	l.ended = append(l.ended, runtable.ListedEnd{Number: l.numbers, Task: ref.Task.String(), Ref: ref, Valid: true, How: how})
}

// Start implements worker.Backend. It takes whatever its worker thinks fits.
func (l *Backend) Start(_ context.Context, c runtable.StartCall) runtable.StartResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	switch {
	case c.Instance != l.instance:
		return runtable.StartWrongIncarnation
	case c.Token < l.token:
		return runtable.StartFenced
	case l.holds(c.Ref):
		return runtable.StartAccepted
	case c.Ref.Run <= l.newest[c.Ref.Task]:
		return runtable.StartRunNumberUsed
	case c.Deadline <= l.clock():
		return runtable.StartLeaseExpired
	}
	l.token = c.Token
	l.extend(c.Deadline)
	now := time.Now()
	l.running[c.Ref] = listedRun{ends: now.Add(l.workOf(c.Ref.Task)), how: wire.EndDone, entry: len(l.journal)}
	l.journal = append(l.journal, Run{Ref: c.Ref, Began: now})
	l.starts[c.Ref.Task]++
	return runtable.StartAccepted
}

// mostLease is the longest lease that is granted; a longer one is cut to it.
const mostLease = time.Second

func (l *Backend) extend(deadline time.Duration) {
	l.deadline = max(l.deadline, min(deadline, l.clock()+mostLease))
}

func (l *Backend) holds(ref wire.RunRef) bool {
	_, ok := l.running[ref]
	return ok
}

// Stop implements worker.Backend.
func (l *Backend) Stop(_ context.Context, c runtable.StopCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	if r, ok := l.running[c.Ref]; ok {
		l.stop(c.Ref, r)
	}
	l.newest[c.Ref.Task] = max(l.newest[c.Ref.Task], c.Ref.Run)
	return true
}

// stop ends a run once its grace is over.
func (l *Backend) stop(ref wire.RunRef, r listedRun) {
	now := time.Now()
	switch over := now.Add(l.StopGrace); {
	case l.StopGrace == 0:
		l.end(ref, wire.EndStopped, now)
	case over.Before(r.ends):
		r.ends, r.how = over, wire.EndStopped
		l.running[ref] = r
	}
}

// Hold implements worker.Backend.
func (l *Backend) Renew(ctx context.Context, c runtable.RenewCall) runtable.RenewAnswer {
	until := time.Now().Add(c.Wait)
	for {
		a, news := l.look(c)
		if news || ctx.Err() != nil || !time.Now().Before(until) {
			return a
		}
		time.Sleep(holdStep)
	}
}

func (l *Backend) noted(number uint64) {
	for i := range l.journal {
		if e := &l.journal[i]; e.EndNumber == number && number > 0 {
			e.AckedAt = time.Now()
		}
	}
}

// look returns the lists, and whether there is an end that was not seen.
func (l *Backend) look(c runtable.RenewCall) (a runtable.RenewAnswer, news bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	if c.Token < l.token {
		return runtable.RenewAnswer{Result: runtable.RenewFenced, Clock: l.clock()}, true
	}
	l.token = c.Token
	l.extend(c.Deadline)
	for len(l.ended) > 0 && l.ended[0].Number <= c.LastSeen {
		l.noted(l.ended[0].Number)
		l.ended = l.ended[1:]
	}
	a = runtable.RenewAnswer{Result: runtable.RenewOK, Clock: l.clock()}
	for ref := range l.running {
		a.Running = append(a.Running, runtable.ListedRun{Ref: ref, Percent: l.percent(ref)})
	}
	a.Ended = append(a.Ended, l.ended...)
	return a, len(a.Ended) > 0
}
