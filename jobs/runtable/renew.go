package runtable

import "time"

// NextRenewal returns the next call that renews the backend server's lease; ok is false if none
// may be made now. Until a list has shown what runs there, the call renews nothing, since an
// earlier process may have let the lease lapse.
func (t *Table) NextRenewal(now time.Time) (call RenewCall, ok bool) {
	t.expireLeases(now)
	t.finishLapse(now)
	if !t.hasIdentity || t.lapsing {
		return RenewCall{}, false
	}
	t.renewSeq++
	t.pendingRenewals[t.renewSeq] = false
	call = RenewCall{Instance: t.identity.Instance, Born: t.identity.Born, Seq: t.renewSeq, Token: t.token, LastSeen: t.ackedEnd, OverdueAfter: t.cfg.RenewOverdueAfter, Limit: t.renewLimit()}
	if t.token == 0 {
		return call, true
	}
	if t.synced {
		call.Deadline = t.extendBackendLease(now)
	}
	call.Wait = t.renewWait(now)
	return call, true
}

// recentFailureWindow is how long after an unanswered call more of them are expected. Some
// faults of a backend server last that long.
const recentFailureWindow = 5 * time.Second

// renewWait returns how long the next renewal may wait at the backend server for an end. While an
// unanswered renewal is not overdue, the worker receives no ends. Waits are therefore short while
// something runs and a recent call was unanswered, and the renewal after an unanswered one does
// not wait at all. Long waits halve the renewals of a worker with twenty ends a second; their
// cost is one long gap without ends, at the first unanswered call.
func (t *Table) renewWait(now time.Time) time.Duration {
	switch {
	case !t.synced || t.unansweredRenewals > 0:
		return 0
	case len(t.runs) > 0 && now.Sub(t.unansweredAt) < recentFailureWindow:
		return t.cfg.ShortRenewWait
	}
	return t.cfg.LongRenewWait
}

// renewLimit returns the timeout of a renewal beyond its wait. It doubles after each unanswered
// renewal, since the box may be slow.
func (t *Table) renewLimit() time.Duration {
	limit := t.cfg.RenewLimit
	for i := 0; i < t.unansweredRenewals && limit < t.cfg.CallLimit; i++ {
		limit *= 2
	}
	return min(limit, t.cfg.CallLimit)
}

// RenewOverdue records that a RenewCall had no answer within its wait and
// Settings.RenewOverdueAfter. The answer may still arrive; the next renewal does not wait for an
// end.
func (t *Table) RenewOverdue(call RenewCall) {
	overdue, pending := t.pendingRenewals[call.Seq]
	if !pending || overdue {
		return // the answer arrived at the same time
	}
	t.pendingRenewals[call.Seq] = true
	if call.Incarnation() == t.identity.Incarnation() && t.hasIdentity {
		t.unansweredRenewals++
	}
}

// RenewAnswered handles the answer to a RenewCall. Answers may arrive in any order.
func (t *Table) RenewAnswered(now time.Time, call RenewCall, a RenewAnswer) {
	overdue := t.pendingRenewals[call.Seq]
	delete(t.pendingRenewals, call.Seq)
	if call.Incarnation() != t.identity.Incarnation() || !t.hasIdentity {
		return
	}
	if a.Result != RenewUnanswered {
		t.unansweredRenewals = 0
	}
	switch a.Result {
	case RenewConnectionRefused:
		t.connectionRefused(now)
	case RenewWrongIncarnation:
		t.endIncarnation(now, "wrong_life")
	case RenewRestarted:
		t.replacedBy(now, Incarnation{Instance: call.Instance}, "reborn")
	case RenewUnanswered:
		t.unansweredAt = now
		if !overdue {
			t.unansweredRenewals++
		}
	case RenewFenced:
		t.setClock(now, a.Clock)
		t.newToken()
	case RenewOK:
		t.renewed(now, call, &a)
	}
}

// renewed handles the answer to a renewal that was carried out.
func (t *Table) renewed(now time.Time, call RenewCall, a *RenewAnswer) {
	t.setClock(now, a.Clock)
	t.checkSilence(now)
	if call.Token == 0 {
		t.newToken()
		return
	}
	if call.Token != t.token || t.lapsing {
		return
	}
	t.applyLists(now, call, a)
}

// newToken sets a fencing token above that of any earlier process of this worker. All of them
// derive their tokens from the backend server's clock. That is not enough if an earlier process
// has called this incarnation with the token of a previous one, whose clock had run longer. The
// token is then doubled on each refusal, so a clock of a day is exceeded after some 17 tries.
func (t *Table) newToken() {
	t.token = max(1, uint64(t.clock.Milliseconds()), 2*t.token)
	t.effects.Renew = true
}

func (t *Table) setClock(now time.Time, clock time.Duration) {
	if clock > t.clock {
		t.clock, t.clockAt = clock, now
	}
}

// extendBackendLease returns the end of a lease that starts now, on the backend server's clock,
// and records until when it may last by our clock. The lease of a silent backend server, or one
// that is to lapse, is not extended. A requested lease is never shortened.
func (t *Table) extendBackendLease(now time.Time) time.Duration {
	if t.silent || t.lapsing {
		return t.leaseDeadline
	}
	lease := t.leaseLimit(now).Sub(now)
	if lease > 0 {
		t.leaseEnds = latest(t.leaseEnds, now.Add(t.withDrift(lease)))
		t.leaseDeadline = max(t.leaseDeadline, t.clock+now.Sub(t.clockAt)+lease)
	}
	return t.leaseDeadline
}

// withDrift returns the longest time that a lease may last by our clock.
func (t *Table) withDrift(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + t.cfg.Drift))
}

// leaseLimit returns the latest time until which a new lease of the backend server may last. If
// an owner whose lease has expired still has something here, the limit counts from that expiry,
// as it does at the owner, however late the expiry is noticed here.
func (t *Table) leaseLimit(now time.Time) time.Time {
	bound := now.Add(t.cfg.BackendLease)
	for _, r := range t.runs {
		bound = earliest(bound, t.livesUntil(now, r.lease))
		for _, key := range r.coOwners {
			bound = earliest(bound, t.livesUntil(now, key))
		}
	}
	for _, e := range t.ends {
		if !e.stored {
			bound = earliest(bound, t.livesUntil(now, e.lease))
		}
	}
	if !t.complete {
		bound = earliest(bound, t.hiddenLivesUntil(now))
	}
	return bound
}

// livesUntil returns the time until which what is under the lease may live. What an earlier process
// of this worker left, and no owner has claimed yet, may live no longer than that process has seen
// to: it is unknown when its owner last received a status from this worker, and when it therefore
// starts the tasks elsewhere.
func (t *Table) livesUntil(now time.Time, key leaseKey) time.Time {
	l := t.leases[key]
	if l == nil || key.member == unclaimed {
		return now
	}
	return l.expires.Add(t.cfg.StopGrace).Add(t.cfg.BackendLease)
}

// hiddenLivesUntil returns the same for what a list that was not whole has not shown, which may be of
// any partition.
func (t *Table) hiddenLivesUntil(now time.Time) time.Time {
	bound := now.Add(t.cfg.BackendLease)
	for p := range t.cfg.Partitions {
		bound = earliest(bound, t.livesUntil(now, leaseKey{partition: p}))
	}
	return bound
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
