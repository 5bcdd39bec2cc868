// Package speed is the core that learns how the time of runs at one life of a backend server
// relates to their estimates: what is usual there, and how the latest runs compare with that.
// A server that is slow as such is used for what still ends in time there; one that has turned
// slow is left alone until it recovers.
//
// It owns the figures of one life. It relies on its caller for the ends of runs and the time.
// It does no I/O and reads no clock.
package speed

// Meter learns the speed of one life of a backend server.
type Meter struct{}

// New returns a meter that knows nothing.
func New() *Meter { return &Meter{} }

// Ended takes a run that has ended; ratio is its time over its estimate.
func (m *Meter) Ended(ratio float64) {}

// Factor returns the usual time of a run over its estimate; 0 while it is not known.
func (m *Meter) Factor() float64 { return 0 }

// Slowness returns the time of the latest runs over what is usual, 1 while that is not known.
// atLeast holds, for each run that goes on, the least that its time over its estimate will be.
func (m *Meter) Slowness(atLeast []float64) float64 { return 1 }
