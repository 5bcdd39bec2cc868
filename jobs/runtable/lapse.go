package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// lapseMargin is added to the end of the backend server's lease, since timers fire late.
const lapseMargin = 50 * time.Millisecond

// expireLeases handles the owners whose lease has expired while runs of theirs, or ends that
// they have not stored, are here. The runs are stopped one by one. What is left after the grace
// is ended by letting the backend server's lease lapse.
func (t *Table) expireLeases(now time.Time) {
	if t.lapsing || !t.hasIdentity {
		return
	}
	for _, key := range t.expiredLeases(now) {
		l := t.leases[key]
		if l.stoppedAt.IsZero() {
			l.stoppedAt = now
			t.stopRunsUnder(now, key)
		}
		if now.Sub(l.stoppedAt) >= t.cfg.StopGrace {
			t.lapse(now, string(OwnerLeaseEnded))
			return
		}
	}
	if t.synced && now.Sub(t.syncedAt) > t.cfg.AdoptionTimeout {
		t.lapseUnowned(now)
	}
}

// expiredLeases returns the keys of expired leases under which there are still runs or unstored
// ends, in order. It drops expired leases of disconnected coordinators that have nothing here.
func (t *Table) expiredLeases(now time.Time) []leaseKey {
	var over []leaseKey
	for key, l := range t.leases {
		expired := !now.Before(l.expires)
		switch {
		case expired && t.hasWorkUnder(key):
			over = append(over, key)
		case expired && key.member != "" && t.owners[l.conn] == nil:
			delete(t.leases, key)
		default:
			l.stoppedAt = time.Time{}
		}
	}
	slices.SortFunc(over, compareLeaseKeys)
	return over
}

// stopRunsUnder stops all runs under the lease.
func (t *Table) stopRunsUnder(now time.Time, key leaseKey) {
	t.note(OwnerLeaseEnded, wire.RunRef{}, key.member)
	for _, ref := range t.sortedRefs() {
		r := t.runs[ref]
		if r != nil && r.heldBy(key) {
			t.stopRun(now, r)
		}
	}
}

// lapseUnowned lets the backend server's lease lapse if an earlier process left runs or ends of
// durable jobs that no coordinator has claimed.
func (t *Table) lapseUnowned(now time.Time) {
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

// hasWorkUnder returns whether there are runs or unstored ends under the lease, or may be some that no
// list has shown.
func (t *Table) hasWorkUnder(key leaseKey) bool {
	if t.synced && !t.complete && key.member == "" {
		return true
	}
	for _, r := range t.runs {
		if r.heldBy(key) {
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

// lapse stops renewing the backend server's lease, so that the backend server ends all runs.
func (t *Table) lapse(now time.Time, reason string) {
	t.lapsing = true
	t.note(LeaseLapsing, wire.RunRef{}, reason)
	t.queueStatuses()
	t.finishLapse(now)
}

// finishLapse ends all runs once the backend server has certainly ended them.
func (t *Table) finishLapse(now time.Time) {
	if !t.lapsing || now.Before(t.leaseEnds.Add(lapseMargin)) {
		return
	}
	t.lapsing = false
	t.note(LeaseLapsed, wire.RunRef{}, "")
	if t.silent && t.isRefusing() {
		t.giveUpIncarnation(now, reasonRefused) // all its runs are over, even if the process is alive
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
	t.complete = t.complete || t.synced // nothing of earlier processes can be running
	t.acknowledgeStored()
	t.effects.Renew = true
	t.reportAll(now)
	t.queueStatuses()
}

// Resumed handles the end of a suspension of the box; now includes its duration. The backend
// server's clock may have stood still meanwhile: a lease that had not expired before may last
// that much longer, and the clock may be that far behind what is assumed here.
func (t *Table) Resumed(now time.Time, suspended time.Duration) {
	before := now.Add(-suspended)
	if t.leaseEnds.After(before) {
		t.leaseEnds = t.leaseEnds.Add(suspended)
	}
	for _, r := range t.runs {
		if r.inheritedUntil.After(before) {
			r.inheritedUntil = r.inheritedUntil.Add(suspended)
		}
	}
	t.clockAt = t.clockAt.Add(suspended)
}
