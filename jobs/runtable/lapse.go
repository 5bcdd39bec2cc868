package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Tick does what is due by time.
func (t *Table) Tick(now time.Time) {
	t.expire(now)
	t.checkSilence(now)
	t.lapseSilent(now)
	t.finishLapse(now)
	t.giveUpStarts(now)
	t.stopStragglers(now)
	for ref, e := range t.recent {
		if now.Sub(e.at) > recentFor {
			delete(t.recent, ref)
		}
	}
}

// expire looks for owners whose lease is over while something of theirs is
// here. Their runs are stopped; what is not gone soon is ended by letting the
// backend server's lease lapse.
func (t *Table) expire(now time.Time) {
	if t.lapsing || !t.known {
		return
	}
	for _, key := range ordered.KeysFunc(t.scopes, compareScopes) {
		p := t.scopes[key]
		if now.Before(p.expires) || !t.holds(key) {
			p.condemned = time.Time{}
			continue
		}
		if p.condemned.IsZero() {
			p.condemned = now
			t.condemn(now, key)
		}
		if now.Sub(p.condemned) >= t.cfg.StopGrace {
			t.lapse(now, "owner_lease_ended")
			return
		}
	}
	if t.firstHold && now.Sub(t.adopted) > t.cfg.FirstLease {
		t.expireUnowned(now)
	}
}

// condemn stops all runs of the scope.
func (t *Table) condemn(now time.Time, key scope) {
	t.note("owner_lease_ended", wire.RunRef{}, key.member)
	for _, ref := range t.refs() {
		r := t.runs[ref]
		if r != nil && r.scope == key {
			t.stopRun(now, r)
		}
	}
}

// expireUnowned ends what an earlier process left here and nobody claims.
func (t *Table) expireUnowned(now time.Time) {
	for _, ref := range t.refs() {
		r := t.runs[ref]
		if r == nil {
			continue
		}
		if r.scope.member == unclaimed {
			t.stopRun(now, r)
			continue
		}
		if t.scopes[r.scope] == nil {
			t.lapse(now, "no_owner")
			return
		}
	}
	for _, e := range t.ends {
		if !e.kept && t.scopes[e.scope] == nil {
			t.lapse(now, "no_owner")
			return
		}
	}
}

// holds returns whether anything of the scope is here.
func (t *Table) holds(key scope) bool {
	for _, r := range t.runs {
		if r.scope == key {
			return true
		}
	}
	for _, e := range t.ends {
		if e.scope == key && !e.kept {
			return true
		}
	}
	return false
}

func (t *Table) lapse(now time.Time, reason string) {
	t.lapsing = true
	t.note("lease_lapsing", wire.RunRef{}, reason)
	t.touchAll()
	t.finishLapse(now)
}

// lapseMargin covers timers that fire late.
const lapseMargin = 50 * time.Millisecond

func (t *Table) finishLapse(now time.Time) {
	if !t.lapsing || now.Before(t.leaseEnds.Add(lapseMargin)) {
		return
	}
	t.lapsing = false
	t.note("lease_lapsed", wire.RunRef{}, "")
	for _, ref := range t.refs() {
		r := t.runs[ref]
		t.endRun(now, r, wire.EndLapsed, "lease_lapsed")
		delete(t.runs, ref)
	}
	t.waiting = nil
	for _, e := range t.ends {
		e.kept = true
	}
	t.forget()
	t.effects.Hold = true
	t.tellAll()
	t.touchAll()
}

// giveUpStarts seals starts that have had no answer for too long.
func (t *Table) giveUpStarts(now time.Time) {
	if t.silent {
		return // the lease will end them
	}
	for _, ref := range t.refs() {
		r := t.runs[ref]
		if r.state == runStarting && now.Sub(r.firstSent) > t.cfg.StartLimit {
			t.note("start_unanswered", r.order.Ref, "sealing")
			t.sendStop(r)
		}
	}
}

// stopStragglers stops runs that are over their limit, so that they can be
// started elsewhere.
func (t *Table) stopStragglers(now time.Time) {
	for _, ref := range t.refs() {
		r := t.runs[ref]
		limit := time.Duration(r.order.LimitMS) * time.Millisecond
		if r.state != runRunning || limit == 0 || now.Sub(r.started) <= limit {
			continue
		}
		t.note("straggler_stopped", ref, limit.String())
		r.straggled = true
		t.sendStop(r)
	}
}
