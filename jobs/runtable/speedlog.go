package runtable

import "time"

// loggedSpeed is the usual speed that the log was told last.
type loggedSpeed struct {
	factor uint32 // percent; 0 if none was
	at     time.Time
}

// The log is told of another usual speed when it differs by more than speedLogThreshold, and so often at
// most.
const (
	speedLogThreshold = 0.1 // share of the figure told before
	speedLogInterval  = 10 * time.Second
)

// logSpeed tells the log of the usual speed of the backend server when it is first known,
// and when it has changed.
func (t *Table) logSpeed(now time.Time) {
	told := &t.outcomes.logged
	factor := percent(t.outcomes.speed.Factor())
	if factor == 0 || factor == told.factor {
		return
	}
	what := SpeedKnown
	if told.factor != 0 {
		what = SpeedChanged
		difference := float64(factor)/float64(told.factor) - 1
		if max(difference, -difference) <= speedLogThreshold || now.Sub(told.at) < speedLogInterval {
			return
		}
	}
	t.effects.Notes = append(t.effects.Notes, Note{What: what, Factor: factor, FactorBefore: told.factor})
	*told = loggedSpeed{factor, now}
}
