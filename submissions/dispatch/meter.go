package dispatch

import "time"

// rateMeter measures the rate at which tasks end, as an exponential moving
// average over periods of meterPeriod.
type rateMeter struct {
	since  time.Time
	ended  int
	perSec float64
}

const (
	meterPeriod = 200 * time.Millisecond // length of a sample; a few tasks long
	meterWeight = 0.3                    // weight of the newest sample in the average
)

func (m *rateMeter) add(n int) { m.ended += n }

// roll adds the current period to the average once it is over.
func (m *rateMeter) roll(now time.Time) {
	if m.since.IsZero() {
		m.since = now
		return
	}
	d := now.Sub(m.since)
	if d < meterPeriod {
		return
	}
	rate := float64(m.ended) / d.Seconds()
	m.perSec += meterWeight * (rate - m.perSec)
	m.since = now
	m.ended = 0
}

// timeFor returns how long n tasks take at the measured rate. It returns zero
// when the rate is below one task per second.
func (m *rateMeter) timeFor(n int) time.Duration {
	if m.perSec < 1 {
		return 0
	}
	return time.Duration(float64(n) / m.perSec * float64(time.Second))
}
