// Package fakebackend is a stand-in for a backend server that runs tasks under a
// lease. It owns the runs, the lease and a journal of all runs, which tests check for
// tasks that ran twice. Its clock counts from its creation. It relies on package
// runtable for the requests and answers of the protocol.
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

// Backend is a stand-in for a backend server that runs tasks under a lease. It runs in
// the worker's process and implements worker.Backend. All methods may be called
// concurrently.
type Backend struct {
	Capacity durable.Resources
	Service  string
	TaskTime time.Duration // how long each run takes
	// TaskTimeOf, if not nil, returns how long a run of the task takes, in place of TaskTime. It
	// and StopGrace must be set before the first call of a method.
	TaskTimeOf func(durable.TaskID) time.Duration
	StopGrace  time.Duration // how long a run continues after a request to stop it
	// ListedEnds is how many ends it lists at once: the first that are not acknowledged. It must be
	// set before the first call of a method.
	ListedEnds int

	mu            sync.Mutex
	instance      string
	reportNumber  uint64        // of the newest report; the first has 1
	born          time.Time     // when its clock showed 0
	token         uint64        // the highest fencing token received
	deadline      time.Duration // when the lease expires, on its own clock
	running       map[wire.RunRef]activeRun
	newestRun     map[durable.TaskID]uint32 // the highest run number that has ended or was stopped
	unacked       []runtable.ListedEnd      // ends that no renewal has acknowledged yet
	lastEndNumber uint64
	starts        map[durable.TaskID]int
	journal       []Run
}

// activeRun is a run that has not ended.
type activeRun struct {
	endsAt       time.Time // unless the lease expires first
	endKind      wire.End  // how it ends at endsAt
	journalIndex int
}

// Run is one run that a Backend carried out.
type Run struct {
	Ref       wire.RunRef
	Began     time.Time
	Ended     time.Time // zero while it runs
	How       wire.End  // how it ended; zero while it runs
	EndNumber uint64    // 0 while it runs, and once the lease has expired before the end was acknowledged
	AckedAt   time.Time // when the worker acknowledged its end; zero before, and if the lease expired in between
}

// OngoingAt returns whether the run had not ended at the time given.
func (r *Run) OngoingAt(at time.Time) bool { return r.Ended.IsZero() || r.Ended.After(at) }

// Journal returns all runs that were ever started, in the order of their starts.
func (b *Backend) Journal() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return slices.Clone(b.journal)
}

// renewPollInterval is the pause between two checks for new ends while a renewal waits.
const renewPollInterval = 2 * time.Millisecond

// DefaultListedEnds is how many ends the users' backend servers list at once.
const DefaultListedEnds = 500

// New returns an idle backend server whose runs take the time given.
func New(service string, capacity durable.Resources, taskTime time.Duration) *Backend {
	return &Backend{
		Capacity:   capacity,
		Service:    service,
		TaskTime:   taskTime,
		ListedEnds: DefaultListedEnds,
		instance:   uuid.NewString(),
		born:       time.Now().Add(-time.Second),
		running:    make(map[wire.RunRef]activeRun),
		newestRun:  make(map[durable.TaskID]uint32),
		starts:     make(map[durable.TaskID]int),
	}
}

// Instance returns its instance ID.
func (b *Backend) Instance() string { return b.instance }

// Report returns the content of its next heartbeat.
func (b *Backend) Report() runtable.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportNumber++
	return runtable.Report{
		Number:   b.reportNumber,
		Identity: runtable.Identity{Instance: b.instance, Service: b.Service, Ready: true, Capacity: b.Capacity},
	}
}

// Resize changes its capacity, which the next heartbeat reports.
func (b *Backend) Resize(capacity durable.Resources) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Capacity = capacity
}

// percent returns the progress of an active run.
func (b *Backend) percent(ref wire.RunRef) int {
	total := b.taskTime(ref.Task)
	left := time.Until(b.running[ref].endsAt)
	return int(100 * (total - left) / total)
}

// taskTime returns how long a run of the task takes.
func (b *Backend) taskTime(t durable.TaskID) time.Duration {
	if b.TaskTimeOf == nil {
		return b.TaskTime
	}
	return b.TaskTimeOf(t)
}

// Starts returns how many runs of each task have been started.
func (b *Backend) Starts() map[durable.TaskID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[durable.TaskID]int, len(b.starts))
	for t, n := range b.starts {
		out[t] = n
	}
	return out
}

// Identify implements worker.Backend. It reports no start time, since its instance ID is unique.
func (b *Backend) Identify(context.Context) (incarnation runtable.Incarnation, ok bool) {
	return runtable.Incarnation{Instance: b.instance}, true
}

// clock returns the time since its creation, in which lease deadlines are given.
func (b *Backend) clock() time.Duration { return time.Since(b.born) }

// advance ends the runs that were due to end by now, and all others if the lease has expired.
// The caller holds mu, as for all unexported methods below.
func (b *Backend) advance() {
	expiry := b.born.Add(b.deadline)
	for ref, r := range b.running {
		switch {
		case !time.Now().Before(r.endsAt) && !expiry.Before(r.endsAt):
			b.end(ref, r.endKind, r.endsAt)
		case time.Now().After(expiry):
			b.end(ref, wire.EndLapsed, expiry)
		}
	}
	if time.Now().After(expiry) {
		b.clearUnackedNumbers()
	}
}

// clearUnackedNumbers clears the end numbers of all unacknowledged journal entries, so that
// markAcked no longer finds them: an acknowledgement that arrives after the lease has expired
// doesn't count.
func (b *Backend) clearUnackedNumbers() {
	for i := range b.journal {
		if e := &b.journal[i]; e.AckedAt.IsZero() {
			e.EndNumber = 0
		}
	}
}

// end moves a run from the active runs to the unacknowledged ends.
func (b *Backend) end(ref wire.RunRef, how wire.End, at time.Time) {
	entry := &b.journal[b.running[ref].journalIndex]
	entry.Ended, entry.How, entry.EndNumber = at, how, b.lastEndNumber+1
	delete(b.running, ref)
	b.newestRun[ref.Task] = max(b.newestRun[ref.Task], ref.Run)
	b.lastEndNumber++
	b.unacked = append(b.unacked, runtable.ListedEnd{Number: b.lastEndNumber, Task: ref.Task.String(), Ref: ref, Valid: true, How: how})
}

// Start implements worker.Backend. It doesn't check the run against its capacity.
func (b *Backend) Start(_ context.Context, c runtable.StartCall) runtable.StartResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	switch {
	case c.Instance != b.instance:
		return runtable.StartWrongIncarnation
	case c.Token < b.token:
		return runtable.StartFenced
	case b.isRunning(c.Ref):
		return runtable.StartAccepted
	case c.Ref.Run <= b.newestRun[c.Ref.Task]:
		return runtable.StartRunNumberUsed
	case c.Deadline <= b.clock():
		return runtable.StartLeaseExpired
	}
	b.token = c.Token
	b.extend(c.Deadline)
	now := time.Now()
	b.running[c.Ref] = activeRun{endsAt: now.Add(b.taskTime(c.Ref.Task)), endKind: wire.EndDone, journalIndex: len(b.journal)}
	b.journal = append(b.journal, Run{Ref: c.Ref, Began: now})
	b.starts[c.Ref.Task]++
	return runtable.StartAccepted
}

// maxLease is the longest lease that it grants; a longer one is shortened to it.
const maxLease = time.Second

// extend moves the deadline of the lease to the one given, at most maxLease from now. It never
// shortens the lease.
func (b *Backend) extend(deadline time.Duration) {
	b.deadline = max(b.deadline, min(deadline, b.clock()+maxLease))
}

func (b *Backend) isRunning(ref wire.RunRef) bool {
	_, ok := b.running[ref]
	return ok
}

// Stop implements worker.Backend.
func (b *Backend) Stop(_ context.Context, c runtable.StopCall) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if r, ok := b.running[c.Ref]; ok {
		b.stop(c.Ref, r)
	}
	b.newestRun[c.Ref.Task] = max(b.newestRun[c.Ref.Task], c.Ref.Run)
	return true
}

// stop ends a run after StopGrace, or at its usual end if that comes first.
func (b *Backend) stop(ref wire.RunRef, r activeRun) {
	now := time.Now()
	switch graceEnd := now.Add(b.StopGrace); {
	case b.StopGrace == 0:
		b.end(ref, wire.EndStopped, now)
	case graceEnd.Before(r.endsAt):
		r.endsAt, r.endKind = graceEnd, wire.EndStopped
		b.running[ref] = r
	}
}

// Renew implements worker.Backend. It answers once there is an unacknowledged end or the
// requested wait is over, and at once if the token is fenced.
func (b *Backend) Renew(ctx context.Context, c runtable.RenewCall) runtable.RenewAnswer {
	until := time.Now().Add(c.Wait)
	for {
		a, immediate := b.applyRenewal(c)
		if immediate || ctx.Err() != nil || !time.Now().Before(until) {
			return a
		}
		time.Sleep(renewPollInterval)
	}
}

// markAcked records in the journal that the worker acknowledged the end of that number.
func (b *Backend) markAcked(number uint64) {
	for i := range b.journal {
		if e := &b.journal[i]; e.EndNumber == number && number > 0 {
			e.AckedAt = time.Now()
		}
	}
}

// applyRenewal extends the lease and removes the ends that the request acknowledges. It returns
// the runs and the remaining ends, and whether the answer must not wait: there are such ends, or
// the token is fenced.
func (b *Backend) applyRenewal(c runtable.RenewCall) (a runtable.RenewAnswer, immediate bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if c.Token < b.token {
		return runtable.RenewAnswer{Result: runtable.RenewFenced, Clock: b.clock()}, true
	}
	b.token = c.Token
	b.extend(c.Deadline)
	for len(b.unacked) > 0 && b.unacked[0].Number <= c.LastSeen {
		b.markAcked(b.unacked[0].Number)
		b.unacked = b.unacked[1:]
	}
	a = runtable.RenewAnswer{Result: runtable.RenewOK, Clock: b.clock()}
	for ref := range b.running {
		a.Running = append(a.Running, runtable.ListedRun{Ref: ref, Percent: b.percent(ref)})
	}
	listed := min(len(b.unacked), b.ListedEnds)
	a.Ended = append(a.Ended, b.unacked[:listed]...)
	a.MoreEnded = listed == b.ListedEnds
	return a, len(a.Ended) > 0
}
