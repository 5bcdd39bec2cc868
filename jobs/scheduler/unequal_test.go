package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/speed"
	"github.com/lichenfall/lichenfall/wire"
)

// The pattern: three kinds of machines, on which runs take 0.6, 1.0 or 1.6 times their estimates,
// scatter by 40 % and have a tail of seven times in a twentieth; many short wide jobs, fewer
// long ones, many small ones, which take so much of the room that slow servers are used too.

const (
	unequalWorkers  = 12
	unequalCapacity = 16_000 // thousandths of a core at each
)

// groups are the usual times of runs over their estimates on the kinds of machines.
var groups = [...]float64{0.6, 1, 1.6}

// unequalWorker is a worker that learns the speed of its backend server.
type unequalWorker struct {
	meter   *speed.Meter
	factor  float64 // usual time of runs over their estimates
	sick    float64 // and so many times that now
	free    int64
	seq     uint64
	running []unequalRun
}

type unequalRun struct {
	order  wire.RunOrder
	began  time.Time
	took   time.Duration
	before uint64
}

func (r *unequalRun) ratio(took time.Duration) float64 {
	return float64(took.Milliseconds()) / float64(r.order.EstimateMS)
}

// expected returns how long the run takes by its pace, once that can be told by its percent.
func (r *unequalRun) expected(now time.Time) time.Duration {
	ran := now.Sub(r.began)
	if ran < max(60*time.Millisecond, time.Duration(r.order.EstimateMS)*time.Millisecond/4) {
		return ran
	}
	return r.took
}

func workerName(i int) string { return fmt.Sprintf("w%d", i) }

// unequalPlay plays a load through one core, in steps of a millisecond.
type unequalPlay struct {
	core     *scheduler.Core
	random   *rand.Rand
	now      time.Time
	workers  [unequalWorkers]unequalWorker
	call     scheduler.Call
	lives    int                  // that each backend server has had
	ejected  map[string]time.Time // the first time
	restored map[string]time.Time // the last time
}

func newUnequalPlay(seed uint64, bySpeed bool) *unequalPlay {
	cfg := config.DefaultScheduler()
	cfg.Load.PlaceBySpeed = bySpeed
	cfg.Load.AskForRoom = false // these workers share no room
	p := &unequalPlay{
		core: scheduler.New(cfg.Core("a"), seed), random: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1000, 0),
		ejected: make(map[string]time.Time), restored: make(map[string]time.Time),
	}
	p.core.Evacuate(p.now, routing.Evacuations{Offset: 1})
	for i := range p.workers {
		p.workers[i] = unequalWorker{meter: speed.New(), factor: groups[i%len(groups)], sick: 1, free: unequalCapacity}
		p.core.WorkerUp(p.now, workerName(i), "a")
		p.status(i)
	}
	return p
}

func (p *unequalPlay) status(i int) {
	w := &p.workers[i]
	var running []speed.Running
	for _, r := range w.running {
		running = append(running, speed.Running{MinRatio: r.ratio(r.expected(p.now)), EndedBefore: r.before})
	}
	p.core.Status(p.now, workerName(i), &wire.WorkerStatus{
		Stamp: 1, Ready: true, StartSeq: w.seq, Free: durable.Resources{CPU: w.free, Memory: 1 << 20},
		TimeFactor: uint32(100 * w.meter.TimeFactor()), Slowness: uint32(100 * w.meter.Slowness(running)),
		Identity: &wire.BackendIdentity{Instance: fmt.Sprintf("%s@%d", workerName(i), p.lives), Service: "s", Capacity: durable.Resources{CPU: unequalCapacity, Memory: 1 << 20}},
	})
}

func (p *unequalPlay) send() {
	for _, k := range []kindOfJob{
		{name: "quote", perS: 34, width: 8, work: 51 * time.Millisecond},
		{name: "slice", priority: 2, perS: 6.1, width: 4, work: 760 * time.Millisecond},
		{name: "vet", priority: 1, perS: 97, width: 2, work: 170 * time.Millisecond},
	} {
		if p.random.Float64() >= k.perS/1000 {
			continue
		}
		p.call++
		p.core.Submit(p.now, p.call, &durable.Submission{
			ID: durable.JobID(fmt.Sprintf("%016x", p.call)), BestEffort: true,
			Queue: durable.Queue{Name: k.name, Service: "s", Priority: k.priority, MaxAttempts: 3, Stretch: 1.6, TargetMS: 60},
			Steps: []durable.Step{{Count: k.width, Need: durable.Resources{CPU: 1500, Memory: 64}, EstimateMS: k.work.Milliseconds()}},
		}, 1500*time.Millisecond)
	}
}

func (p *unequalPlay) start(i int, m *wire.StartRuns) {
	w := &p.workers[i]
	w.seq = m.Seq
	for _, order := range m.Runs {
		x := w.factor * w.sick * math.Exp(0.4*p.random.NormFloat64())
		if p.random.Float64() < 0.05 {
			x *= 7
		}
		w.free -= order.Need.CPU
		w.running = append(w.running, unequalRun{order, p.now, time.Duration(x * float64(order.EstimateMS) * float64(time.Millisecond)), w.meter.Runs()})
	}
	p.status(i)
}

// end ends the runs of the worker that are over, or over their limit.
func (p *unequalPlay) end(i int) {
	w := &p.workers[i]
	before := len(w.running)
	w.running = slices.DeleteFunc(w.running, func(r unequalRun) bool {
		ran, how := p.now.Sub(r.began), wire.EndDone
		if ran < r.took {
			how = wire.EndStraggled
		}
		expected := r.expected(p.now)
		if how == wire.EndStraggled && (r.order.LimitMS == 0 || expected.Milliseconds() <= r.order.LimitMS) {
			return false
		}
		w.free += r.order.Need.CPU
		w.meter.RunEnded(p.now, r.ratio(expected))
		p.core.Ends(p.now, workerName(i), &wire.RunEnds{Ends: []wire.RunEnd{{Ref: r.order.Ref, How: uint8(how), RunMS: ran.Milliseconds()}}})
		return true
	})
	if len(w.running) < before || p.now.UnixMilli()%100 == int64(i) {
		p.status(i)
	}
}

func (p *unequalPlay) perform() {
	e := p.core.Take(p.now)
	for _, s := range e.Sends {
		var i int
		if _, err := fmt.Sscanf(s.Worker, "w%d", &i); err != nil {
			panic(err)
		}
		if m, ok := s.Message.(*wire.StartRuns); ok {
			p.start(i, m)
		}
	}
	for _, n := range e.Notes {
		if _, again := p.ejected[n.Worker]; n.What == scheduler.WorkerEjected && !again {
			p.ejected[n.Worker] = p.now
		}
		if n.What == scheduler.WorkerRestored {
			p.restored[n.Worker] = p.now
		}
	}
}

func (p *unequalPlay) play(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(time.Millisecond)
		for i := range p.workers {
			p.end(i)
		}
		p.send()
		if p.now.UnixMilli()%20 == 0 {
			p.core.Tick(p.now)
		}
		p.perform()
	}
}

// TestUnequalServersInCalm holds that no server is ejected for being slow as such, or for
// scatter, in two minutes of each of three seeds, in which the slow ones have some hundred runs
// each.
func TestUnequalServersInCalm(t *testing.T) {
	for seed := range uint64(3) {
		p := newUnequalPlay(seed, true)
		p.play(2 * time.Minute)
		if len(p.ejected) > 0 {
			t.Errorf("seed %d: ejected: %v", seed, p.ejected)
		}
		for i := range p.workers {
			w := &p.workers[i]
			if got := w.meter.TimeFactor(); math.Abs(got/w.factor-1) > 0.1 {
				t.Errorf("seed %d: the time factor of %s is %.2f, want about %.1f", seed, workerName(i), got, w.factor)
			}
		}
	}
}

// TestServerTurnsSlow holds that a server that turns slow for 15 s is ejected within 40 of its
// runs, which it has in 2 s, alone, and restored within 10 s of its recovery.
func TestServerTurnsSlow(t *testing.T) {
	for i, sick := range []float64{3, 4, 5} {
		p := newUnequalPlay(uint64(i), true)
		began, recovered := p.turnSlow(i, sick)
		name := workerName(i)
		ejected, restored := p.ejected[name].Sub(began), p.restored[name].Sub(recovered)
		t.Logf("%s %v times slow: ejected %v after it began, restored %v after it was over", name, sick, ejected, restored)
		if len(p.ejected) != 1 || ejected < 0 || ejected > 2*time.Second {
			t.Errorf("%s is %v times slow; ejected: %v", name, sick, p.ejected)
		}
		if restored < 0 || restored > 10*time.Second {
			t.Errorf("%s is restored %v after its recovery", name, restored)
		}
	}
}

// TestServerTurnsSlowAmongEqual holds that it is also ejected where servers are taken to be alike.
func TestServerTurnsSlowAmongEqual(t *testing.T) {
	const sick = 5
	p := newUnequalPlay(1, false)
	for i := range p.workers {
		p.workers[i].factor = 1
	}
	began, recovered := p.turnSlow(0, sick)
	ejected, restored := p.ejected[workerName(0)].Sub(began), p.restored[workerName(0)].Sub(recovered)
	if ejected < 0 || ejected > 2*time.Second || restored < 0 || restored > 10*time.Second {
		t.Errorf("ejected %v after it began, restored %v after it was over", ejected, restored)
	}
}

// TestAllSpeedsForgotten holds that servers which all begin a new life at once are taken to be
// alike, that none is ejected for it, and that their speeds are known again within ten seconds.
func TestAllSpeedsForgotten(t *testing.T) {
	p := newUnequalPlay(4, true)
	p.play(10 * time.Second)
	p.loseAll()
	for _, v := range p.core.Workers() {
		if v.TimeFactor != 0 {
			t.Errorf("%s has time factor %d in its new life", v.Address, v.TimeFactor)
		}
	}
	p.play(10 * time.Second)
	for i := range p.workers {
		if w := &p.workers[i]; math.Abs(w.meter.TimeFactor()/w.factor-1) > 0.15 {
			t.Errorf("the time factor of %s is %.2f, want about %.1f", workerName(i), w.meter.TimeFactor(), w.factor)
		}
	}
	if len(p.ejected) > 0 {
		t.Errorf("ejected: %v", p.ejected)
	}
}

// loseAll has all backend servers crash and begin a new life, each on another kind of machine.
func (p *unequalPlay) loseAll() {
	p.lives++
	for i := range p.workers {
		w := &p.workers[i]
		m := &wire.RunEnds{}
		for _, r := range w.running {
			m.Ends = append(m.Ends, wire.RunEnd{Ref: r.order.Ref, How: uint8(wire.EndCrashed), Instance: workerName(i)})
		}
		p.core.Ends(p.now, workerName(i), m)
		*w = unequalWorker{meter: speed.New(), factor: groups[(i+p.lives)%len(groups)], sick: 1, free: unequalCapacity, seq: w.seq}
		p.status(i)
	}
}

// turnSlow has the worker so many times slow for 15 s, and returns from when until when.
func (p *unequalPlay) turnSlow(i int, sick float64) (began, recovered time.Time) {
	p.play(10 * time.Second)
	p.workers[i].sick = sick
	began = p.now
	p.play(15 * time.Second)
	p.workers[i].sick = 1
	recovered = p.now
	p.play(15 * time.Second)
	return began, recovered
}
