package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/speed"
)

// server is a backend server whose runs scatter by 40 % round its usual time, a twentieth of
// them with a tail of seven times.
type server struct {
	meter  *speed.Meter
	random *rand.Rand
	factor float64 // usual time of a run over its estimate
	sick   float64 // and so many times that now
	now    time.Time
}

func newServer(seed uint64, factor float64) *server {
	return &server{meter: speed.New(), random: rand.New(rand.NewPCG(seed, 10)), factor: factor, sick: 1, now: time.Unix(1000, 0)}
}

const (
	scatter = 0.4
	tail    = 0.05
	tailX   = 7
	perS    = 40 // runs, while the server is in use
)

func (s *server) ratio() float64 {
	x := s.factor * s.sick * math.Exp(scatter*s.random.NormFloat64())
	if s.random.Float64() < tail {
		x *= tailX
	}
	return x
}

// run ends so many runs, at so many a second.
func (s *server) run(n int, perS float64) {
	for range n {
		s.now = s.now.Add(time.Duration(float64(time.Second) / perS))
		s.meter.RunEnded(s.now, s.ratio())
	}
}

func (s *server) slowness() float64 { return s.meter.Slowness(nil) }

// groups are the usual times of three kinds of machines.
var groups = []float64{0.6, 1, 1.6}

// within returns of how many servers the usual time is known to within so much.
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
		out = append(out, newServer(uint64(i), groups[i%len(groups)]))
	}
	return out
}

func TestUsualSpeedOfThreeGroups(t *testing.T) {
	servers := manyServers(300)
	for _, s := range servers {
		s.run(15, perS)
		if s.meter.TimeFactor() != 0 {
			t.Fatal("15 runs are too few to know")
		}
		s.run(15, perS)
	}
	n := within(servers, 0.1)
	t.Logf("known to within 10 %% after 30 runs at %d of 300 servers, to within 25 %% at %d", n, within(servers, 0.25))
	if n < 210 {
		t.Errorf("known to within 10 %% after 30 runs at %d of 300 servers, want 210", n)
	}
	if n := within(servers, 0.25); n < 294 {
		t.Errorf("known to within 25 %% after 30 runs at %d of 300 servers, want 294", n)
	}
	for _, s := range servers {
		s.run(170, perS)
	}
	if n := within(servers, 0.1); n < 285 {
		t.Errorf("known to within 10 %% after 200 runs at %d of 300 servers, want 285", n)
	}
}

// The bounds by which coordinators eject and restore a server.
const (
	ejected  = 2.0
	restored = 1.6
)

// until ends runs until the condition holds, n at most, and returns whether it did.
func (s *server) until(n int, perS float64, holds func(slowness float64) bool) bool {
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
	for _, sick := range []float64{3, 4, 5} {
		seen, lost, again := 0, 0, 0
		for _, s := range manyServers(99) {
			s.run(400, perS)
			usual := s.meter.TimeFactor()
			s.sick = sick
			if s.until(perS, perS, isEjected) {
				seen++
			}
			if s.until(15, 1, isRestored) { // it has probes alone for 15 s
				lost++
			}
			if moved := s.meter.TimeFactor() / usual; math.Abs(moved-1) > 0.05 {
				t.Errorf("%v times slow for 15 s: the usual speed moved by a factor of %.2f", sick, moved)
			}
			s.sick = 1
			if s.until(8, 1, isRestored) {
				again++
			}
		}
		if seen < 97 || lost > 2 || again < 97 {
			t.Errorf("%v times slow: of 99 servers %d were seen within a second of runs, %d called well too soon, %d well after eight probes", sick, seen, lost, again)
		}
	}
}

func TestRunsThatGoOn(t *testing.T) {
	s := newServer(1, 1.6)
	s.run(400, perS)
	going := func(n int, x float64) (out []speed.Running) {
		for range n {
			out = append(out, speed.Running{MinRatio: s.factor * x, EndedBefore: s.meter.Runs()})
		}
		return out
	}
	before := s.slowness()
	if got := s.meter.Slowness(going(20, 0.5)); got != before {
		t.Errorf("young runs say %.2f, were %.2f", got, before)
	}
	if got := s.meter.Slowness(going(12, 5)); got < ejected {
		t.Errorf("12 runs that stand still say %.2f", got)
	}
	long := going(3, 7)
	s.run(100, perS)
	if with, without := s.meter.Slowness(long), s.slowness(); with > without*1.01 {
		t.Errorf("three long runs still count after a hundred others: %.2f, without them %.2f", with, without)
	}
}

func TestLastingChange(t *testing.T) {
	for _, tc := range []struct {
		name     string
		from, to float64 // usual time
		runs     int     // after the change
		perS     float64
		follows  bool
	}{
		{"slower for 50 s, with probes alone", 1, 4, 50, 1, false},
		{"slower for 50 s, in use", 1, 4, 500, 10, false},
		{"slower for two minutes, with probes alone", 1, 4, 120, 1, true},
		{"slower for two minutes, in use", 1, 4, 1200, 10, true},
		{"faster: was sick when its life began", 4, 1, 100, perS, true},
		{"a little slower for two minutes", 1, 1.3, 2400, perS, true},
	} {
		s := newServer(2, tc.from)
		s.run(200, perS)
		s.factor = tc.to
		s.run(tc.runs, tc.perS)
		want := tc.from
		if tc.follows {
			want = tc.to
		}
		if got := s.meter.TimeFactor(); math.Abs(got/want-1) > 0.2 {
			t.Errorf("%s: usual time %.2f, want %.2f", tc.name, got, want)
		}
		if tc.follows && s.slowness() > 1.6 {
			t.Errorf("%s: still called slowed, %.2f", tc.name, s.slowness())
		}
	}
}

func TestNothingKnown(t *testing.T) {
	s := newServer(3, 1)
	if s.meter.TimeFactor() != 0 || s.slowness() != 1 {
		t.Errorf("a new life has time factor %v and slowness %v", s.meter.TimeFactor(), s.slowness())
	}
	s.sick = 5
	s.run(15, perS)
	if s.slowness() < ejected {
		t.Errorf("slow from its start, and called %.2f before its usual speed is known", s.slowness())
	}
	s.run(15, perS)
	if s.slowness() > 1.6 || s.meter.TimeFactor() < 4 {
		t.Errorf("a slow machine by all its runs is called slowed: %.2f, usual %.2f", s.slowness(), s.meter.TimeFactor())
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
