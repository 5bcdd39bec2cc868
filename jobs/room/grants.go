package room

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

const (
	// passOver is how long later waits may go on while the first of all does not fit: a
	// tenth of the time after which callers try again.
	passOver = 100 * time.Millisecond
	// mayLapse is how many times in a row an owner may let grants lapse.
	mayLapse = 3
	// setAsideLeast and setAsideMost are how long an owner comes last that lets them lapse:
	// doubled each time. At the most it tries as often as callers do.
	setAsideLeast = 100 * time.Millisecond
	setAsideMost  = 1600 * time.Millisecond
)

// grant is room that is kept for one task of an owner.
type grant struct {
	owner    string
	priority int32
	need     durable.Resources
	turn     time.Time
	stamp    int64 // of the status that told of it; 0 while none has
	until    time.Time
}

// grant keeps room for the wait's next task.
func (t *Table) grant(now time.Time, w *wait) {
	t.grants = append(t.grants, &grant{owner: w.owner, priority: w.priority, need: w.need, turn: w.turn(), until: now.Add(t.cfg.GrantTTL)})
	w.granted++
	w.unfitSince = time.Time{}
	t.event(Granted, w.owner)
}

// granted returns what is granted to others than the owner.
func (t *Table) granted(owner string) durable.Resources {
	sum := durable.Resources{}
	for _, g := range t.grants {
		if g.owner != owner {
			sum = sum.Add(g.need)
		}
	}
	return sum
}

// endGrants ends the grants that are over.
func (t *Table) endGrants(over func(g *grant) bool) {
	t.grants = slices.DeleteFunc(t.grants, over)
}

// lapse ends the grants that were not answered in time.
func (t *Table) lapse(now time.Time) {
	t.endGrants(func(g *grant) bool {
		over := !now.Before(g.until)
		if over {
			t.lapsed(now, g)
		}
		return over
	})
}

// lapsed takes the end of a grant that its owner has not answered. One that lets them lapse
// several times comes last for a while. What it was told of before the last time counts as
// that time.
func (t *Table) lapsed(now time.Time, g *grant) {
	t.event(GrantLapsed, g.owner)
	a := t.askers[g.owner]
	if g.until.Add(-t.cfg.GrantTTL).Before(a.lapsedAt) {
		return
	}
	a.lapsedAt = now
	a.lapses++
	if a.lapses >= mayLapse {
		a.setAside = now.Add(setAsideFor(a.lapses - mayLapse))
		t.event(OwnerDeprioritised, g.owner)
	}
}

// answered takes the answer of an owner to grants. Unless orders of it are taken with that,
// it comes last for a moment: its tasks have gone elsewhere, or cannot be started here, and
// if it was granted the same room again and again, nobody else would have any.
func (a *asker) answered(now time.Time, moment time.Duration) {
	a.lapses = 0
	a.returned = now.Add(moment)
}

// setAsideFor returns for how long an owner comes last that was set aside so many times
// before.
func setAsideFor(before int) time.Duration {
	pause := setAsideLeast
	for i := 0; i < before && pause < setAsideMost; i++ {
		pause *= 2
	}
	return pause
}

// shrink ends grants until they fit what is free, those of the latest turns first, among
// those that may be ended.
func (t *Table) shrink(free durable.Resources, mayEnd func(g *grant) bool) {
	for !t.granted("").Fits(free) {
		var latest *grant
		for _, g := range t.grants {
			if mayEnd(g) && (latest == nil || g.turn.After(latest.turn)) {
				latest = g
			}
		}
		if latest == nil {
			return
		}
		t.endGrants(func(g *grant) bool { return g == latest })
	}
}

// keep takes the first of all waits, which does not fit the rest. Once others have gone on
// for long, the rest is kept until it fits, as far as it needs it.
func (t *Table) keep(now time.Time, w *wait, rest durable.Resources) {
	if w.unfitSince.IsZero() {
		w.unfitSince = now
	}
	if now.Sub(w.unfitSince) < passOver {
		return
	}
	t.kept = least(w.need, rest.Max(durable.Resources{}))
}

// least returns the smaller of each part.
func least(a, b durable.Resources) durable.Resources {
	return durable.Resources{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), GPU: min(a.GPU, b.GPU)}
}
