package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// recentEndTTL is how long the ends of best-effort runs are remembered for owners that lost
// their connection. It exceeds the time that a coordinator takes to reconnect.
const recentEndTTL = 5 * time.Second

// end is the end of a run, which the backend server remembers until it is acknowledged.
type end struct {
	number   uint64
	lease    leaseKey
	coOwners []leaseKey // leases of the other coordinators that had ordered the run
	report   wire.RunEnd
	stored   bool // stored by its owner, or not needed by anyone
}

// recentEnd is the end of a best-effort run.
type recentEnd struct {
	report wire.RunEnd
	at     time.Time
}

// addEnd adds a listed end.
func (t *Table) addEnd(now time.Time, l *ListedEnd) {
	if l.Number <= t.lastListedEnd {
		return
	}
	if len(t.ends) == 0 {
		// The backend server has forgotten all ends before the first one listed.
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
		// The ends of best-effort jobs are not stored, so this one may be forgotten.
		e.stored = true
		t.recentEnds[l.Ref] = recentEnd{e.report, now}
	}
	t.reportListedEnd(e.lease, e)
	for _, key := range e.coOwners {
		t.reportListedEnd(key, e)
	}
}

// reportListedEnd reports the end to the owner of the lease, provided that the owner has been
// sent what came before.
func (t *Table) reportListedEnd(key leaseKey, e *end) {
	if l := t.leases[key]; l != nil && l.knowsEnds() {
		t.sendEnd(l.conn, e.report)
	}
}

// completeEnd adds what the table knows of the run that has ended, and removes the run.
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

// endRun reports an end that the backend server does not list.
func (t *Table) endRun(now time.Time, r *run, how wire.End, reason string) {
	t.reportEnd(r, r.unlistedEnd(now, how, reason))
}

// unlistedEnd returns the report of an end that the backend server does not list.
func (r *run) unlistedEnd(now time.Time, how wire.End, reason string) wire.RunEnd {
	if how == wire.EndCrashed && r.started.IsZero() {
		reason += suffixUnanswered
	}
	return wire.RunEnd{Ref: r.order.Ref, How: uint8(how), Reason: reason, RunMS: r.age(now)}
}

// reportEnd reports the end of the run to all its owners.
func (t *Table) reportEnd(r *run, e wire.RunEnd) {
	t.reportEndUnder(r.lease, e)
	for _, key := range r.coOwners {
		t.reportEndUnder(key, e)
	}
}

// reportEndUnder reports an end to the owner of the lease.
func (t *Table) reportEndUnder(key leaseKey, e wire.RunEnd) {
	l := t.leases[key]
	if l == nil {
		return
	}
	t.note(Decision(runEndPrefix+wire.End(e.How).String()), e.Ref, e.Reason)
	t.sendEnd(l.conn, e)
}

// sendEnd adds an end to the message for the owner on the connection.
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

// AcknowledgeEnds handles a coordinator's report that it has stored ends. The backend server may
// forget the ends of runs that this coordinator owns.
func (t *Table) AcknowledgeEnds(_ time.Time, conn string, m *wire.EndsKept) {
	kept := make(map[wire.RunRef]bool, len(m.Runs))
	for _, ref := range m.Runs {
		kept[ref] = true
	}
	for _, e := range t.ends {
		if kept[e.report.Ref] && t.reportedTo(e.lease, conn) {
			e.stored = true
		}
	}
	for ref, c := range t.crashedRuns {
		if kept[ref] && t.reportedTo(c.lease, conn) {
			delete(t.crashedRuns, ref)
		}
	}
	t.acknowledgeStored()
}

// reportedTo returns whether the coordinator on the connection owns the lease and has been sent
// what is known under it.
func (t *Table) reportedTo(key leaseKey, conn string) bool {
	l := t.leases[key]
	return l != nil && l.conn == conn && l.knowsEnds()
}

// acknowledgeStored drops the stored ends up to the first that is not stored, since the backend
// server forgets ends up to a number.
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
