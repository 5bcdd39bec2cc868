package runtable

import "time"

// toldSpeed is the usual speed that the log was told last.
type toldSpeed struct {
	factor uint32 // percent; 0 if none was
	at     time.Time
}

// The log is told of another usual speed when it differs by more than tellFrom, and so often at
// most.
const (
	tellFrom  = 0.1 // share of the figure told before
	tellEvery = 10 * time.Second
)

// tellSpeed tells the log of the usual speed of the backend server when it is first known,
// and when it has changed.
func (t *Table) tellSpeed(now time.Time) {
	told := &t.outcomes.told
	factor := inPercent(t.outcomes.speed.TimeFactor())
	if factor == 0 || factor == told.factor {
		return
	}
	what := SpeedKnown
	if told.factor != 0 {
		what = SpeedChanged
		difference := float64(factor)/float64(told.factor) - 1
		if max(difference, -difference) <= tellFrom || now.Sub(told.at) < tellEvery {
			return
		}
	}
	t.effects.Notes = append(t.effects.Notes, Note{What: what, Factor: factor, FactorBefore: told.factor})
	*told = toldSpeed{factor, now}
}
