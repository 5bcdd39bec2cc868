package runtable

import "time"

// loggedSpeed is the baseline that was logged last.
type loggedSpeed struct {
	factor uint32 // percent; 0 if none was
	at     time.Time
}

// Another baseline is logged if it differs by more than speedLogThreshold, and at most once per
// speedLogInterval.
const (
	speedLogThreshold = 0.1 // share of the baseline logged before
	speedLogInterval  = 10 * time.Second
)

// logSpeed logs the baseline of the backend server when it is first known and when it has
// changed.
func (t *Table) logSpeed(now time.Time) {
	last := &t.outcomes.logged
	factor := percent(t.outcomes.speed.TimeFactor())
	if factor == 0 || factor == last.factor {
		return
	}
	what := SpeedKnown
	if last.factor != 0 {
		what = SpeedChanged
		difference := float64(factor)/float64(last.factor) - 1
		if max(difference, -difference) <= speedLogThreshold || now.Sub(last.at) < speedLogInterval {
			return
		}
	}
	t.effects.Notes = append(t.effects.Notes, Note{What: what, Factor: factor, FactorBefore: last.factor})
	*last = loggedSpeed{factor, now}
}
