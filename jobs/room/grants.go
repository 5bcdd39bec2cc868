package room

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

const (
	// maxBypass is how long later tasks may be granted capacity while the earliest does not
	// fit: a tenth of the time after which callers retry.
	maxBypass = 100 * time.Millisecond
	// maxLapses is how many lapses in a row deprioritise an owner. Grants that lapse in one
	// pause of the owner count as one lapse.
	maxLapses = 3
	// minLapsePenalty and maxLapsePenalty bound how long an owner ranks last after it let
	// grants lapse; the time doubles with each further lapse. At the maximum the owner is
	// granted capacity about as often as callers retry.
	minLapsePenalty = 100 * time.Millisecond
	maxLapsePenalty = 1600 * time.Millisecond
)

// grant is capacity that is held for one task of an owner.
type grant struct {
	owner    string
	priority int32
	need     durable.Resources
	deadline time.Time // virtual deadline of the task
	stamp    int64     // of the status that advertised the grant; 0 before that
	until    time.Time
}

// grant holds capacity for the next task of the group.
func (t *Table) grant(now time.Time, w *waitingTasks) {
	t.grants = append(t.grants, &grant{owner: w.owner, priority: w.priority, need: w.need, deadline: w.nextDeadline(), until: now.Add(t.cfg.GrantTTL)})
	w.granted++
	w.unfitSince = time.Time{}
	t.addEvent(Granted, w.owner)
}

// grantedToOthers returns the sum of the grants of all owners but the given one.
func (t *Table) grantedToOthers(owner string) durable.Resources {
	sum := durable.Resources{}
	for _, g := range t.grants {
		if g.owner != owner {
			sum = sum.Add(g.need)
		}
	}
	return sum
}

// removeGrants removes the grants that match.
func (t *Table) removeGrants(matches func(g *grant) bool) {
	t.grants = slices.DeleteFunc(t.grants, matches)
}

// expireGrants removes the grants that their owners did not answer in time.
func (t *Table) expireGrants(now time.Time) {
	t.removeGrants(func(g *grant) bool {
		expired := !now.Before(g.until)
		if expired {
			t.noteLapse(now, g)
		}
		return expired
	})
}

// noteLapse records that an owner let a grant lapse. An owner that does so maxLapses times in
// a row ranks last for a while. A grant that was already standing at the previous lapse belongs
// to the same pause of its owner, and does not count again.
func (t *Table) noteLapse(now time.Time, g *grant) {
	t.addEvent(GrantLapsed, g.owner)
	r := t.requesters[g.owner]
	if g.until.Add(-t.cfg.GrantTTL).Before(r.lapsedAt) {
		return
	}
	r.lapsedAt = now
	r.lapses++
	if r.lapses >= maxLapses {
		r.deprioritisedUntil = now.Add(lapsePenalty(r.lapses - maxLapses))
		t.addEvent(OwnerDeprioritised, g.owner)
	}
}

// answered records that the requester has answered grants. Unless orders of it are accepted
// with that answer, it ranks last for the penalty: its tasks have been started elsewhere or
// cannot be started here, and if the same capacity was granted to it again and again, no other
// coordinator would get any.
func (r *requester) answered(now time.Time, penalty time.Duration) {
	r.lapses = 0
	r.unusedUntil = now.Add(penalty)
}

// lapsePenalty returns how long an owner ranks last that has been deprioritised the given
// number of times in a row before.
func lapsePenalty(before int) time.Duration {
	penalty := minLapsePenalty
	for i := 0; i < before && penalty < maxLapsePenalty; i++ {
		penalty *= 2
	}
	return penalty
}

// revokeExcess removes grants until the rest fit the free capacity. Of those that mayRevoke
// accepts it removes the ones with the latest virtual deadlines first.
func (t *Table) revokeExcess(free durable.Resources, mayRevoke func(g *grant) bool) {
	for !t.grantedToOthers("").Fits(free) {
		var latest *grant
		for _, g := range t.grants {
			if mayRevoke(g) && (latest == nil || g.deadline.After(latest.deadline)) {
				latest = g
			}
		}
		if latest == nil {
			return
		}
		t.removeGrants(func(g *grant) bool { return g == latest })
	}
}

// reserve holds back capacity for the earliest group, which does not fit the rest. Once later
// tasks have bypassed it for maxBypass, as much of the rest as one of its tasks needs is
// reserved until that task fits.
func (t *Table) reserve(now time.Time, w *waitingTasks, rest durable.Resources) {
	if w.unfitSince.IsZero() {
		w.unfitSince = now
	}
	if now.Sub(w.unfitSince) < maxBypass {
		return
	}
	t.reserved = componentMin(w.need, rest.Max(durable.Resources{}))
}

// componentMin returns the smaller of each component.
func componentMin(a, b durable.Resources) durable.Resources {
	return durable.Resources{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), GPU: min(a.GPU, b.GPU)}
}
