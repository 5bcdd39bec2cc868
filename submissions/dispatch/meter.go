package dispatch

import "time"

// meter measures the rate at which tasks end.
type meter struct {
	since  time.Time
	ended  int
	perSec float64
}

const (
	meterPeriod = 200 * time.Millisecond // over which the rate is taken; a few tasks long
	meterWeight = 0.3                    // of the newest period in the average
)

func (m *meter) add(n int) { m.ended += n }

// roll closes a period when it is over.
func (m *meter) roll(now time.Time) {
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

// timeFor returns how long n tasks take at the measured rate; zero when nothing
// was measured.
func (m *meter) timeFor(n int) time.Duration {
	if m.perSec < 1 {
		return 0
	}
	return time.Duration(float64(n) / m.perSec * float64(time.Second))
}
