package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// lapseMargin is added to the end of the backend server's lease, since timers fire late.
const lapseMargin = 50 * time.Millisecond

// expireLeases looks for owners whose lease is over while something of theirs is
// here. Their runs are stopped one by one; what is not gone within the grace is
// ended by letting the backend server's lease lapse.
func (t *Table) expireLeases(now time.Time) {
	if t.lapsing || !t.known {
		return
	}
	for _, key := range t.leasesOver(now) {
		l := t.leases[key]
		if l.stoppedAt.IsZero() {
			l.stoppedAt = now
			t.stopRunsOf(now, key)
		}
		if now.Sub(l.stoppedAt) >= t.cfg.StopGrace {
			t.lapse(now, string(OwnerLeaseEnded))
			return
		}
	}
	if t.synced && now.Sub(t.syncedAt) > t.cfg.AdoptionTimeout {
		t.expireUnowned(now)
	}
}

// leasesOver returns the leases that are over while something of theirs is here, in
// their order. Those of coordinators that are gone and have nothing here are forgotten.
func (t *Table) leasesOver(now time.Time) []leaseKey {
	var over []leaseKey
	for key, l := range t.leases {
		isOver := !now.Before(l.expires)
		switch {
		case isOver && t.holds(key):
			over = append(over, key)
		case isOver && key.member != "" && t.owners[l.owner] == nil:
			delete(t.leases, key)
		default:
			l.stoppedAt = time.Time{}
		}
	}
	slices.SortFunc(over, compareLeaseKeys)
	return over
}

// stopRunsOf stops all runs under the lease.
func (t *Table) stopRunsOf(now time.Time, key leaseKey) {
	t.note(OwnerLeaseEnded, wire.RunRef{}, key.member)
	for _, ref := range t.refs() {
		r := t.runs[ref]
		if r != nil && r.under(key) {
			t.stopRun(now, r)
		}
	}
}

// expireUnowned ends what an earlier process left here of kept jobs, and no coordinator asks
// about.
func (t *Table) expireUnowned(now time.Time) {
	for _, r := range t.runs {
		if t.leases[r.lease] == nil {
			t.lapse(now, "no_owner")
			return
		}
	}
	for _, e := range t.ends {
		if !e.stored && t.leases[e.lease] == nil {
			t.lapse(now, "no_owner")
			return
		}
	}
}

// holds returns whether anything under the lease is here.
func (t *Table) holds(key leaseKey) bool {
	for _, r := range t.runs {
		if r.under(key) {
			return true
		}
	}
	for _, e := range t.ends {
		if e.lease == key && !e.stored {
			return true
		}
	}
	return false
}

// lapse stops renewing the backend server's lease, so that it ends all it runs.
func (t *Table) lapse(now time.Time, reason string) {
	t.lapsing = true
	t.note(LeaseLapsing, wire.RunRef{}, reason)
	t.touchOwners()
	t.finishLapse(now)
}

// finishLapse ends all runs here once the backend server has certainly ended
// them.
func (t *Table) finishLapse(now time.Time) {
	if !t.lapsing || now.Before(t.leaseEnds.Add(lapseMargin)) {
		return
	}
	t.lapsing = false
	t.note(LeaseLapsed, wire.RunRef{}, "")
	if t.silent && t.refuses() {
		t.giveUpLife(now, reasonRefused) // whatever it is, all that it ran is dead
		return
	}
	if t.silent {
		t.endSilent(now)
	} else {
		t.endAll(now, wire.EndLapsed, string(LeaseLapsed))
	}
	for _, e := range t.ends {
		e.stored = true
	}
	t.acknowledge()
	t.effects.Renew = true
	t.reportAll(now)
	t.touchOwners()
}

// Resumed tells the table that the box was suspended for so long until now, which the time
// counts. The backend server's clock may not have counted it: a lease that had not ended
// before may last as much longer, and its clock may show as much less than we would think.
func (t *Table) Resumed(now time.Time, suspended time.Duration) {
	before := now.Add(-suspended)
	if t.leaseEnds.After(before) {
		t.leaseEnds = t.leaseEnds.Add(suspended)
	}
	for _, r := range t.runs {
		if r.until.After(before) {
			r.until = r.until.Add(suspended)
		}
	}
	t.clockAt = t.clockAt.Add(suspended)
}
