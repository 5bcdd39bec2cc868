package runtable

import "time"

// NextRenewal returns the call that renews the backend server's lease next; ok
// is false when none may be made now. Until a list has told what runs there, it renews nothing:
// an earlier process may have let the lease lapse.
func (t *Table) NextRenewal(now time.Time) (call RenewCall, ok bool) {
	t.expireLeases(now)
	t.finishLapse(now)
	if !t.known || t.lapsing {
		return RenewCall{}, false
	}
	t.renewSeq++
	t.renewals[t.renewSeq] = false
	call = RenewCall{Instance: t.identity.Instance, Born: t.identity.Born, Seq: t.renewSeq, Token: t.token, LastSeen: t.acked, OverdueAfter: t.cfg.RenewOverdueAfter, Limit: t.renewLimit()}
	if t.token == 0 {
		return call, true
	}
	if t.synced {
		call.Deadline = t.deadline(now)
	}
	call.Wait = t.renewWait(now)
	return call, true
}

// wary is how long after a call without an answer the backend server is thought to leave more
// of them unanswered. Some faults of a backend server last so long.
const wary = 5 * time.Second

// renewWait returns how long the next renewal may wait at the backend server for news.
// One that has no answer makes the worker deaf until it is given up. So waits are short
// while something runs and a call had no answer of late, and the renewal after an
// unanswered one asks at once. Long waits halve the renewals of a worker with twenty ends
// a second; what they risk is one long deafness, of the first call without an answer.
func (t *Table) renewWait(now time.Time) time.Duration {
	switch {
	case !t.synced || t.unanswered > 0:
		return 0
	case len(t.runs) > 0 && now.Sub(t.unansweredAt) < wary:
		return t.cfg.ShortRenewWait
	}
	return t.cfg.LongRenewWait
}

// renewLimit returns how long to wait for the answer to a renewal, beyond its own
// wait: twice as long after each that had none, since the box may be slow.
func (t *Table) renewLimit() time.Duration {
	limit := t.cfg.RenewLimit
	for i := 0; i < t.unanswered && limit < t.cfg.CallLimit; i++ {
		limit *= 2
	}
	return min(limit, t.cfg.CallLimit)
}

// RenewOverdue tells the table that a RenewCall has had no answer within its wait and
// Settings.RenewPatience. Its answer may still come; the next renewal asks at once.
func (t *Table) RenewOverdue(call RenewCall) {
	overdue, onItsWay := t.renewals[call.Seq]
	if !onItsWay || overdue {
		return // it was answered in the same moment
	}
	t.renewals[call.Seq] = true
	if call.Incarnation() == t.identity.Incarnation() && t.known {
		t.unanswered++
	}
}

// RenewAnswered tells the table of the answer to a RenewCall. Answers may come in any
// order.
func (t *Table) RenewAnswered(now time.Time, call RenewCall, a RenewAnswer) {
	overdue := t.renewals[call.Seq]
	delete(t.renewals, call.Seq)
	if call.Incarnation() != t.identity.Incarnation() || !t.known {
		return
	}
	if a.Result != RenewUnanswered {
		t.unanswered = 0
	}
	switch a.Result {
	case RenewConnectionRefused:
		t.refused(now)
	case RenewWrongIncarnation:
		t.lifeOver(now, "wrong_life")
	case RenewRestarted:
		t.succeeded(now, Incarnation{Instance: call.Instance}, "reborn")
	case RenewUnanswered:
		t.unansweredAt = now
		if !overdue {
			t.unanswered++
		}
	case RenewFenced:
		t.setClock(now, a.Clock)
		t.newToken()
	case RenewOK:
		t.renewed(now, call, &a)
	}
}

// renewed takes the answer to a renewal that was carried out.
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
	t.listed(now, call, a)
}

// newToken takes a fencing token above that of any earlier process here: the
// backend server's clock, which all of them took theirs from. Where that is not enough, an
// earlier process has called this life with the token of one before it, whose clock had run
// longer: twice the last token is tried, so a clock of a day is passed in some 17 tries.
func (t *Table) newToken() {
	t.token = max(1, uint64(t.clock.Milliseconds()), 2*t.token)
	t.effects.Renew = true
}

func (t *Table) setClock(now time.Time, clock time.Duration) {
	if clock > t.clock {
		t.clock, t.clockAt = clock, now
	}
}

// deadline returns the end of a lease that begins now, on the backend server's
// clock, and notes until when it may last by ours. That of a silent one, or one that is to
// lapse, is not renewed. One that was asked for is never shortened.
func (t *Table) deadline(now time.Time) time.Duration {
	if t.silent || t.lapsing {
		return t.granted
	}
	lease := t.leaseBound(now).Sub(now)
	if lease > 0 {
		t.leaseEnds = latest(t.leaseEnds, now.Add(t.longest(lease)))
		t.granted = max(t.granted, t.clock+now.Sub(t.clockAt)+lease)
	}
	return t.granted
}

// longest returns how long a lease may last by our clock.
func (t *Table) longest(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + t.cfg.Drift))
}

// leaseBound returns until when a lease of the backend server that begins now may last. Where
// something is here of an owner whose lease is over, that is reckoned from that end, as the
// owner does, however late it is seen here.
func (t *Table) leaseBound(now time.Time) time.Time {
	bound := now.Add(t.cfg.BackendLease)
	for _, r := range t.runs {
		bound = t.earlierOf(bound, r.lease)
		for _, key := range r.also {
			bound = t.earlierOf(bound, key)
		}
	}
	for _, e := range t.ends {
		if !e.stored {
			bound = t.earlierOf(bound, e.lease)
		}
	}
	return bound
}

// earlierOf returns the bound, or until when what is here under the lease may live if that is
// earlier. When the owner of an unclaimed run last heard of us nobody knows, so that one gets no
// more than the time to be claimed or stopped.
func (t *Table) earlierOf(bound time.Time, key leaseKey) time.Time {
	l := t.leases[key]
	if l == nil {
		return bound
	}
	until := l.expires.Add(t.cfg.StopGrace)
	if key.member != unclaimed {
		until = until.Add(t.cfg.BackendLease)
	}
	return earliest(bound, until)
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
