package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// recentFor is how long the ends of best-effort runs are remembered, for an owner whose
// connection broke. Longer than a coordinator takes to connect again.
const recentFor = 5 * time.Second

// unknownPause is the least time from one stop of unknown runs to the next. What a stop takes.
const unknownPause = 50 * time.Millisecond

// end is an end that the backend server remembers until we acknowledge it.
type end struct {
	number uint64
	lease  leaseKey
	also   []leaseKey // of other coordinators whose run it was
	report wire.RunEnd
	stored bool // by its owner, or of no use to anybody
}

// recentEnd is the end of a best-effort run.
type recentEnd struct {
	report wire.RunEnd
	at     time.Time
}

// listed takes the lists of an answered renewal.
func (t *Table) listed(now time.Time, call RenewCall, a *RenewAnswer) {
	running := make(map[wire.RunRef]bool, len(a.Running))
	for _, l := range a.Running {
		running[l.Ref] = true
		if r := t.runs[l.Ref]; r != nil {
			r.listed = true
		}
	}
	t.stopUnknown(now, a.Running)
	for i := range a.Ended {
		t.ended(now, &a.Ended[i])
	}
	if !t.synced {
		t.adopt(now, a.Running)
		t.stopInherited()
		t.synced = true
		t.syncedAt = now
		t.reportAll(now)
		t.touchOwners()
	}
	t.noteProgress(now, call.Seq, a.Running)
	t.resolveVerified(now, call.Seq, running)
	t.acknowledge()
}

// stopUnknown stops the best-effort runs that are listed and not in the table: nobody waits for
// them, and their tasks may run elsewhere. A list that was overtaken may show one that has
// ended since; that one is left.
func (t *Table) stopUnknown(now time.Time, running []ListedRun) {
	if !t.synced || now.Sub(t.unknownAt) < unknownPause {
		return
	}
	for _, l := range running {
		_, ended := t.recent[l.Ref]
		if l.Ref.BestEffort() && t.runs[l.Ref] == nil && !ended {
			t.unknownAt = now
			t.noteFrequent(RunUnknown, l.Ref, reasonStopping)
			t.orderStop(l.Ref)
		}
	}
}

// ended takes one listed end.
func (t *Table) ended(now time.Time, l *ListedEnd) {
	if l.Number <= t.seen {
		return
	}
	if len(t.ends) == 0 {
		// What came before the first end that is listed is forgotten there.
		t.acked = l.Number - 1
	}
	t.seen = l.Number
	e := &end{number: l.Number, stored: !l.Valid}
	t.ends[l.Number] = e
	if !l.Valid {
		return
	}
	t.describeEnd(now, e, l)
	if e.lease.member != "" {
		// Nothing is stored of a best-effort job: the end may be forgotten.
		e.stored = true
		t.recent[l.Ref] = recentEnd{e.report, now}
	}
	t.tellEnd(e.lease, e)
	for _, key := range e.also {
		t.tellEnd(key, e)
	}
}

// tellEnd tells an owner of the end, if it has been told all that came before.
func (t *Table) tellEnd(key leaseKey, e *end) {
	if l := t.leases[key]; l != nil && l.reported {
		t.sendEnd(l.owner, e.report)
	}
}

// describeEnd fills in what is known of the run that has ended, and drops it.
func (t *Table) describeEnd(now time.Time, e *end, l *ListedEnd) {
	e.lease = t.leaseOfListed(l.Ref)
	e.report = wire.RunEnd{Ref: l.Ref, How: uint8(l.How), Checkpoint: l.Checkpoint}
	r := t.runs[l.Ref]
	if r == nil {
		return
	}
	e.lease, e.also = r.lease, r.also
	e.report.RunMS = r.age(now)
	if r.straggled && l.How == wire.EndStopped {
		e.report.How = uint8(wire.EndStraggled)
	}
	t.outcomes.ended(now, r, wire.End(e.report.How))
	t.tellSpeed(now)
	delete(t.runs, l.Ref)
	t.touchFreed()
}

// endRun tells the owner of an end that the backend server does not list.
func (t *Table) endRun(now time.Time, r *run, how wire.End, reason string) {
	t.endRunWith(r, r.lostEnd(now, how, reason))
}

// lostEnd describes an end that the backend server does not list.
func (r *run) lostEnd(now time.Time, how wire.End, reason string) wire.RunEnd {
	if how == wire.EndCrashed && r.started.IsZero() {
		reason += suffixUnanswered
	}
	return wire.RunEnd{Ref: r.order.Ref, How: uint8(how), Reason: reason, RunMS: r.age(now)}
}

// endRunWith tells the owners of the run of its end.
func (t *Table) endRunWith(r *run, e wire.RunEnd) {
	t.endUnder(r.lease, e)
	for _, key := range r.also {
		t.endUnder(key, e)
	}
}

// endUnder tells the owner of the lease of an end.
func (t *Table) endUnder(key leaseKey, e wire.RunEnd) {
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
	t.touch(to, o)
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
		if kept[e.report.Ref] && t.ownedBy(e.lease, name) {
			e.stored = true
		}
	}
	for ref, c := range t.crashed {
		if kept[ref] && t.ownedBy(c.lease, name) {
			delete(t.crashed, ref)
		}
	}
	t.acknowledge()
}

// ownedBy returns whether the coordinator on the connection has the lease, and was told all
// that is under it.
func (t *Table) ownedBy(key leaseKey, name string) bool {
	l := t.leases[key]
	return l != nil && l.owner == name && l.reported
}

// acknowledge drops ends that are stored, up to the first that is not: the
// backend server forgets them by number.
func (t *Table) acknowledge() {
	before := t.acked
	for {
		e := t.ends[t.acked+1]
		if e == nil || !e.stored {
			break
		}
		t.acked++
		delete(t.ends, t.acked)
	}
	if t.acked != before {
		t.effects.Renew = true
	}
}

func (t *Table) forgetRecent(now time.Time) {
	for ref, e := range t.recent {
		if now.Sub(e.at) > recentFor {
			delete(t.recent, ref)
		}
	}
}
