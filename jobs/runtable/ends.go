package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// recentEndTTL is how long the ends of best-effort runs are remembered, for an owner whose
// connection broke. Longer than a coordinator takes to connect again.
const recentEndTTL = 5 * time.Second

// unknownStopInterval is the least time from one stop of unknown runs to the next. What a stop takes.
const unknownStopInterval = 50 * time.Millisecond

// end is an end that the backend server remembers until we acknowledge it.
type end struct {
	number   uint64
	lease    leaseKey
	coOwners []leaseKey // of other coordinators whose run it was
	report   wire.RunEnd
	stored   bool // by its owner, or of no use to anybody
}

// recentEnd is the end of a best-effort run.
type recentEnd struct {
	report wire.RunEnd
	at     time.Time
}

// applyLists takes the lists of an answered renewal.
func (t *Table) applyLists(now time.Time, call RenewCall, a *RenewAnswer) {
	running := make(map[wire.RunRef]bool, len(a.Running))
	for _, l := range a.Running {
		running[l.Ref] = true
		if r := t.runs[l.Ref]; r != nil {
			r.listed = true
		}
	}
	t.stopUnknown(now, a.Running)
	for i := range a.Ended {
		t.addEnd(now, &a.Ended[i])
	}
	if !t.synced {
		t.adopt(now, a.Running)
		t.stopInherited()
		t.synced = true
		t.syncedAt = now
		t.reportAll(now)
		t.queueStatuses()
	}
	t.noteProgress(now, call.Seq, a.Running)
	t.resolveVerified(now, call.Seq, running)
	t.acknowledgeStored()
}

// stopUnknown stops the best-effort runs that are listed and not in the table: nobody waits for
// them, and their tasks may run elsewhere. A list that was overtaken may show one that has
// ended since; that one is left.
func (t *Table) stopUnknown(now time.Time, running []ListedRun) {
	if !t.synced || now.Sub(t.unknownStoppedAt) < unknownStopInterval {
		return
	}
	for _, l := range running {
		_, ended := t.recentEnds[l.Ref]
		if l.Ref.BestEffort() && t.runs[l.Ref] == nil && !ended {
			t.unknownStoppedAt = now
			t.noteFrequent(RunUnknown, l.Ref, reasonStopping)
			t.addStopCall(l.Ref)
		}
	}
}

// addEnd takes one listed end.
func (t *Table) addEnd(now time.Time, l *ListedEnd) {
	if l.Number <= t.lastListedEnd {
		return
	}
	if len(t.ends) == 0 {
		// What came before the first end that is listed is forgotten there.
		t.ackedEnd = l.Number - 1
	}
	t.lastListedEnd = l.Number
	e := &end{number: l.Number, stored: !l.Valid}
	t.ends[l.Number] = e
	if !l.Valid {
		return
	}
	t.completeEnd(now, e, l)
	if e.lease.member != "" {
		// Nothing is stored of a best-effort job: the end may be forgotten.
		e.stored = true
		t.recentEnds[l.Ref] = recentEnd{e.report, now}
	}
	t.reportListedEnd(e.lease, e)
	for _, key := range e.coOwners {
		t.reportListedEnd(key, e)
	}
}

// reportListedEnd tells an owner of the end, if it has been told all that came before.
func (t *Table) reportListedEnd(key leaseKey, e *end) {
	if l := t.leases[key]; l != nil && l.reported {
		t.sendEnd(l.owner, e.report)
	}
}

// completeEnd fills in what is known of the run that has ended, and drops it.
func (t *Table) completeEnd(now time.Time, e *end, l *ListedEnd) {
	e.lease = t.leaseOfListed(l.Ref)
	e.report = wire.RunEnd{Ref: l.Ref, How: uint8(l.How), Checkpoint: l.Checkpoint}
	r := t.runs[l.Ref]
	if r == nil {
		return
	}
	e.lease, e.coOwners = r.lease, r.coOwners
	e.report.RunMS = r.age(now)
	if r.straggled && l.How == wire.EndStopped {
		e.report.How = uint8(wire.EndStraggled)
	}
	t.outcomes.ended(now, r, wire.End(e.report.How))
	t.logSpeed(now)
	delete(t.runs, l.Ref)
	t.announceFreed()
}

// endRun tells the owner of an end that the backend server does not list.
func (t *Table) endRun(now time.Time, r *run, how wire.End, reason string) {
	t.reportEnd(r, r.unlistedEnd(now, how, reason))
}

// unlistedEnd describes an end that the backend server does not list.
func (r *run) unlistedEnd(now time.Time, how wire.End, reason string) wire.RunEnd {
	if how == wire.EndCrashed && r.started.IsZero() {
		reason += suffixUnanswered
	}
	return wire.RunEnd{Ref: r.order.Ref, How: uint8(how), Reason: reason, RunMS: r.age(now)}
}

// reportEnd tells the owners of the run of its end.
func (t *Table) reportEnd(r *run, e wire.RunEnd) {
	t.reportEndUnder(r.lease, e)
	for _, key := range r.coOwners {
		t.reportEndUnder(key, e)
	}
}

// reportEndUnder tells the owner of the lease of an end.
func (t *Table) reportEndUnder(key leaseKey, e wire.RunEnd) {
	l := t.leases[key]
	if l == nil {
		return
	}
	t.note(Decision(runEndPrefix+wire.End(e.How).String()), e.Ref, e.Reason)
	t.sendEnd(l.owner, e)
}

// sendEnd adds an end to the message that goes to the owner.
func (t *Table) sendEnd(to string, e wire.RunEnd) {
	o := t.owners[to]
	if o == nil {
		return
	}
	t.queueStatus(to, o)
	for i := range t.effects.Sends {
		s := &t.effects.Sends[i]
		if m, ok := s.Message.(*wire.RunEnds); ok && s.Owner == to {
			m.Ends = append(m.Ends, e)
			return
		}
	}
	t.send(to, &wire.RunEnds{Ends: []wire.RunEnd{e}})
}

// AcknowledgeEnds tells the table of ends that the backend server may forget, by word of the owner
// of their jobs.
func (t *Table) AcknowledgeEnds(_ time.Time, name string, m *wire.EndsKept) {
	kept := make(map[wire.RunRef]bool, len(m.Runs))
	for _, ref := range m.Runs {
		kept[ref] = true
	}
	for _, e := range t.ends {
		if kept[e.report.Ref] && t.reportedTo(e.lease, name) {
			e.stored = true
		}
	}
	for ref, c := range t.crashedRuns {
		if kept[ref] && t.reportedTo(c.lease, name) {
			delete(t.crashedRuns, ref)
		}
	}
	t.acknowledgeStored()
}

// reportedTo returns whether the coordinator on the connection has the lease, and was told all
// that is under it.
func (t *Table) reportedTo(key leaseKey, name string) bool {
	l := t.leases[key]
	return l != nil && l.owner == name && l.reported
}

// acknowledgeStored drops ends that are stored, up to the first that is not: the
// backend server forgets them by number.
func (t *Table) acknowledgeStored() {
	before := t.ackedEnd
	for {
		e := t.ends[t.ackedEnd+1]
		if e == nil || !e.stored {
			break
		}
		t.ackedEnd++
		delete(t.ends, t.ackedEnd)
	}
	if t.ackedEnd != before {
		t.effects.Renew = true
	}
}

func (t *Table) dropOldEnds(now time.Time) {
	for ref, e := range t.recentEnds {
		if now.Sub(e.at) > recentEndTTL {
			delete(t.recentEnds, ref)
		}
	}
}
