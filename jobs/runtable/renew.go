package runtable

import "time"

// NextRenewal returns the call that renews the backend server's lease next; ok
// is false when none may be made now.
func (t *Table) NextRenewal(now time.Time) (call RenewCall, ok bool) {
	t.expireLeases(now)
	t.finishLapse(now)
	if !t.known || t.lapsing {
		return RenewCall{}, false
	}
	t.renewSeq++
	call = RenewCall{Instance: t.identity.Instance, Seq: t.renewSeq, Token: t.token, LastSeen: t.acked}
	if t.token == 0 {
		return call, true
	}
	call.Deadline = t.deadline(now)
	if t.synced {
		call.Wait = t.cfg.RenewWait
	}
	return call, true
}

// RenewAnswered tells the table of the answer to a RenewCall.
func (t *Table) RenewAnswered(now time.Time, call RenewCall, a RenewAnswer) {
	if call.Instance != t.identity.Instance || !t.known {
		return
	}
	switch a.Result {
	case RenewDead:
		t.lifeOver(now, reasonRefused)
		return
	case RenewWrongLife:
		t.lifeOver(now, "wrong_life")
		return
	case RenewUnanswered:
		return
	case RenewFenced:
		t.setClock(now, a.Clock)
		t.newToken()
		return
	}
	t.setClock(now, a.Clock)
	t.checkSilence(now)
	if call.Token == 0 {
		t.newToken()
		return
	}
	if call.Token != t.token || t.lapsing {
		return
	}
	t.listed(now, call, &a)
}

// newToken takes a fencing token above that of any earlier process here: the
// backend server's clock, which all of them took theirs from.
func (t *Table) newToken() {
	t.token = uint64(max(1, t.clock.Milliseconds()))
	t.effects.Renew = true
}

func (t *Table) setClock(now time.Time, clock time.Duration) {
	if clock > t.clock {
		t.clock, t.clockAt = clock, now
	}
}

// deadline returns the end of a lease that begins now, on the backend server's
// clock, and notes until when it may last by ours. That of a silent one is not
// renewed.
func (t *Table) deadline(now time.Time) time.Duration {
	if t.silent {
		return t.granted
	}
	t.leaseEnds = now.Add(time.Duration(float64(t.cfg.BackendLease) * (1 + t.cfg.Drift)))
	t.granted = t.clock + now.Sub(t.clockAt) + t.cfg.BackendLease
	return t.granted
}
