package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/speed"
)

// server is a backend server whose run durations are log-normally distributed around the usual
// one, with a standard deviation of 0.4. One run in twenty takes seven times as long.
type server struct {
	meter  *speed.Meter
	random *rand.Rand
	factor float64 // usual duration of a run over its estimate
	slowed float64 // how many times as long as usual runs take now
	now    time.Time
}

func newServer(seed uint64, factor float64) *server {
	return &server{meter: speed.New(), random: rand.New(rand.NewPCG(seed, 10)), factor: factor, slowed: 1, now: time.Unix(1000, 0)}
}

const (
	sigma      = 0.4  // standard deviation of the logarithm of durations
	tailShare  = 0.05 // of the runs
	tailFactor = 7
	runsPerS   = 40 // while the server is in use
)

func (s *server) ratio() float64 {
	x := s.factor * s.slowed * math.Exp(sigma*s.random.NormFloat64())
	if s.random.Float64() < tailShare {
		x *= tailFactor
	}
	return x
}

// run records the ends of n runs at the given rate per second.
func (s *server) run(n int, perS float64) {
	for range n {
		s.now = s.now.Add(time.Duration(float64(time.Second) / perS))
		s.meter.RunEnded(s.now, s.ratio())
	}
}

func (s *server) slowness() float64 { return s.meter.Slowness(nil) }

// timeFactors are those of three kinds of machines.
var timeFactors = []float64{0.6, 1, 1.6}

// within returns how many servers have a time factor that is known to within the relative error.
func within(servers []*server, error float64) int {
	n := 0
	for _, s := range servers {
		if math.Abs(s.meter.TimeFactor()/s.factor-1) <= error {
			n++
		}
	}
	return n
}

func manyServers(n int) []*server {
	var out []*server
	for i := range n {
		out = append(out, newServer(uint64(i), timeFactors[i%len(timeFactors)]))
	}
	return out
}

func TestUsualSpeedOfThreeGroups(t *testing.T) {
	servers := manyServers(300)
	for _, s := range servers {
		s.run(15, runsPerS)
		if s.meter.TimeFactor() != 0 {
			t.Fatal("the time factor is known after only 15 runs")
		}
		s.run(15, runsPerS)
	}
	n := within(servers, 0.1)
	t.Logf("time factor known to within 10 %% after 30 runs at %d of 300 servers, to within 25 %% at %d", n, within(servers, 0.25))
	if n < 210 {
		t.Errorf("time factor known to within 10 %% after 30 runs at %d of 300 servers, want 210", n)
	}
	if n := within(servers, 0.25); n < 294 {
		t.Errorf("time factor known to within 25 %% after 30 runs at %d of 300 servers, want 294", n)
	}
	for _, s := range servers {
		s.run(170, runsPerS)
	}
	if n := within(servers, 0.1); n < 285 {
		t.Errorf("time factor known to within 10 %% after 200 runs at %d of 300 servers, want 285", n)
	}
}

// The slowness at which coordinators eject a server, and below which they restore it.
const (
	ejected  = 2.0
	restored = 1.6
)

// runUntil records ends of at most n runs until the condition holds, and returns whether it did.
func (s *server) runUntil(n int, perS float64, holds func(slowness float64) bool) bool {
	for range n {
		s.run(1, perS)
		if holds(s.slowness()) {
			return true
		}
	}
	return false
}

func TestServerThatTurnsSlow(t *testing.T) {
	isEjected := func(x float64) bool { return x >= ejected }
	isRestored := func(x float64) bool { return x < restored }
	for _, slowed := range []float64{3, 4, 5} {
		detected, restoredEarly, recovered := 0, 0, 0
		for _, s := range manyServers(99) {
			s.run(400, runsPerS)
			usual := s.meter.TimeFactor()
			s.slowed = slowed
			if s.runUntil(runsPerS, runsPerS, isEjected) {
				detected++
			}
			if s.runUntil(15, 1, isRestored) { // for 15 s it gets only probes, one a second
				restoredEarly++
			}
			if moved := s.meter.TimeFactor() / usual; math.Abs(moved-1) > 0.05 {
				t.Errorf("%v times slower for 15 s: the time factor changed by a factor of %.2f", slowed, moved)
			}
			s.slowed = 1
			if s.runUntil(8, 1, isRestored) {
				recovered++
			}
		}
		if detected < 97 || restoredEarly > 2 || recovered < 97 {
			t.Errorf("%v times slower: of 99 servers %d were detected within a second of runs, %d restored too early, %d restored after eight probes", slowed, detected, restoredEarly, recovered)
		}
	}
}

func TestRunsThatGoOn(t *testing.T) {
	s := newServer(1, 1.6)
	s.run(400, runsPerS)
	running := func(n int, x float64) (out []speed.Running) {
		for range n {
			out = append(out, speed.Running{MinRatio: s.factor * x, EndedBefore: s.meter.Runs()})
		}
		return out
	}
	before := s.slowness()
	if got := s.meter.Slowness(running(20, 0.5)); got != before {
		t.Errorf("slowness with recently started runs is %.2f, was %.2f", got, before)
	}
	if got := s.meter.Slowness(running(12, 5)); got < ejected {
		t.Errorf("slowness with 12 stalled runs is %.2f", got)
	}
	long := running(3, 7)
	s.run(100, runsPerS)
	if with, without := s.meter.Slowness(long), s.slowness(); with > without*1.01 {
		t.Errorf("three long runs still count after a hundred others have ended: %.2f, without them %.2f", with, without)
	}
}

func TestLastingChange(t *testing.T) {
	for _, tc := range []struct {
		name     string
		from, to float64 // time factor
		runs     int     // after the change
		perS     float64
		follows  bool
	}{
		{"slower for 50 s, with probes only", 1, 4, 50, 1, false},
		{"slower for 50 s, in use", 1, 4, 500, 10, false},
		{"slower for two minutes, with probes only", 1, 4, 120, 1, true},
		{"slower for two minutes, in use", 1, 4, 1200, 10, true},
		{"faster: was slowed when it started", 4, 1, 100, runsPerS, true},
		{"a little slower for two minutes", 1, 1.3, 2400, runsPerS, true},
	} {
		s := newServer(2, tc.from)
		s.run(200, runsPerS)
		s.factor = tc.to
		s.run(tc.runs, tc.perS)
		want := tc.from
		if tc.follows {
			want = tc.to
		}
		if got := s.meter.TimeFactor(); math.Abs(got/want-1) > 0.2 {
			t.Errorf("%s: time factor %.2f, want %.2f", tc.name, got, want)
		}
		if tc.follows && s.slowness() > 1.6 {
			t.Errorf("%s: slowness is still %.2f", tc.name, s.slowness())
		}
	}
}

func TestNothingKnown(t *testing.T) {
	s := newServer(3, 1)
	if s.meter.TimeFactor() != 0 || s.slowness() != 1 {
		t.Errorf("a new meter has time factor %v and slowness %v", s.meter.TimeFactor(), s.slowness())
	}
	s.slowed = 5
	s.run(15, runsPerS)
	if s.slowness() < ejected {
		t.Errorf("slow from its start, but slowness is %.2f before the baseline is known", s.slowness())
	}
	s.run(15, runsPerS)
	if s.slowness() > 1.6 || s.meter.TimeFactor() < 4 {
		t.Errorf("a machine whose runs are all slow has slowness %.2f, time factor %.2f", s.slowness(), s.meter.TimeFactor())
	}
}

func TestRunsOfNoTime(t *testing.T) {
	m := speed.New()
	for i := range 40 {
		m.RunEnded(time.Unix(int64(i), 0), 0)
	}
	if f := m.TimeFactor(); math.IsNaN(f) || math.IsInf(f, 0) || f <= 0 {
		t.Errorf("time factor %v", f)
	}
}
