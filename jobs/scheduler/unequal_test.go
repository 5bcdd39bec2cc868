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

// The servers run on three kinds of machines, on which runs take 0.6, 1.0 or 1.6 times their estimates.
// The times scatter by 40 %, and one in twenty is seven times as long. The load has many short and wide
// jobs, fewer long ones and many small ones, and uses so much of the capacity that slow servers get
// tasks too.

const (
	unequalWorkers  = 12
	unequalCapacity = 16_000 // thousandths of a core at each worker
)

// timeFactors are the usual times of runs over their estimates on the kinds of machines.
var timeFactors = [...]float64{0.6, 1, 1.6}

// unequalWorker is a worker that measures the speed of its backend server.
type unequalWorker struct {
	meter    *speed.Meter
	factor   float64 // usual time of runs over their estimates
	slowdown float64 // present multiple of factor; 1 unless the server is slowed
	free     int64
	seq      uint64
	running  []unequalRun
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

// expected returns how long the run takes. It is estimated from the reported progress once the run is old
// enough for that; before, only the time that it has run so far is known.
func (r *unequalRun) expected(now time.Time) time.Duration {
	ran := now.Sub(r.began)
	if ran < max(60*time.Millisecond, time.Duration(r.order.EstimateMS)*time.Millisecond/4) {
		return ran
	}
	return r.took
}

func workerName(i int) string { return fmt.Sprintf("w%d", i) }

// unequalSim simulates a load at one coordinator, in steps of a millisecond.
type unequalSim struct {
	core     *scheduler.Core
	random   *rand.Rand
	now      time.Time
	workers  [unequalWorkers]unequalWorker
	call     scheduler.Call
	restarts int                  // of all backend servers
	ejected  map[string]time.Time // the time of the first ejection
	restored map[string]time.Time // the time of the last restoration
}

func newUnequalSim(seed uint64, bySpeed bool) *unequalSim {
	cfg := config.DefaultScheduler()
	cfg.Load.PlaceBySpeed = bySpeed
	cfg.Load.AskForRoom = false // these workers do not handle capacity requests
	p := &unequalSim{
		core: scheduler.New(cfg.Core("a"), seed), random: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1000, 0),
		ejected: make(map[string]time.Time), restored: make(map[string]time.Time),
	}
	p.core.Evacuate(p.now, routing.Evacuations{Offset: 1})
	for i := range p.workers {
		p.workers[i] = unequalWorker{meter: speed.New(), factor: timeFactors[i%len(timeFactors)], slowdown: 1, free: unequalCapacity}
		p.core.WorkerUp(p.now, workerName(i), "a")
		p.status(i)
	}
	return p
}

func (p *unequalSim) status(i int) {
	w := &p.workers[i]
	var running []speed.Running
	for _, r := range w.running {
		running = append(running, speed.Running{MinRatio: r.ratio(r.expected(p.now)), EndedBefore: r.before})
	}
	p.core.Status(p.now, workerName(i), &wire.WorkerStatus{
		Stamp: 1, Ready: true, StartSeq: w.seq, Free: durable.Resources{CPU: w.free, Memory: 1 << 20},
		TimeFactor: uint32(100 * w.meter.TimeFactor()), Slowness: uint32(100 * w.meter.Slowness(running)),
		Identity: &wire.BackendIdentity{Instance: fmt.Sprintf("%s@%d", workerName(i), p.restarts), Service: "s", Capacity: durable.Resources{CPU: unequalCapacity, Memory: 1 << 20}},
	})
}

func (p *unequalSim) send() {
	for _, k := range []kindOfJob{
		{name: "quote", perSecond: 34, width: 8, work: 51 * time.Millisecond},
		{name: "slice", priority: 2, perSecond: 6.1, width: 4, work: 760 * time.Millisecond},
		{name: "vet", priority: 1, perSecond: 97, width: 2, work: 170 * time.Millisecond},
	} {
		if p.random.Float64() >= k.perSecond/1000 {
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

func (p *unequalSim) start(i int, m *wire.StartRuns) {
	w := &p.workers[i]
	w.seq = m.Seq
	for _, order := range m.Runs {
		x := w.factor * w.slowdown * math.Exp(0.4*p.random.NormFloat64())
		if p.random.Float64() < 0.05 {
			x *= 7
		}
		w.free -= order.Need.CPU
		w.running = append(w.running, unequalRun{order, p.now, time.Duration(x * float64(order.EstimateMS) * float64(time.Millisecond)), w.meter.Runs()})
	}
	p.status(i)
}

// end ends the runs of the worker that are done, or expected to exceed their limit.
func (p *unequalSim) end(i int) {
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

func (p *unequalSim) perform() {
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

func (p *unequalSim) run(d time.Duration) {
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

// TestUnequalServersInCalm checks, in two minutes with each of three seeds, that no server is ejected for
// being generally slow or for scatter, and that its time factor is measured. Each of the slow ones has
// some hundred runs in that time.
func TestUnequalServersInCalm(t *testing.T) {
	for seed := range uint64(3) {
		p := newUnequalSim(seed, true)
		p.run(2 * time.Minute)
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

// TestServerTurnsSlow checks that a server which is slowed for 15 s is ejected within 40 of its runs, that
// is within 2 s, that no other is ejected, and that it is restored within 10 s of its recovery.
func TestServerTurnsSlow(t *testing.T) {
	for i, slowdown := range []float64{3, 4, 5} {
		p := newUnequalSim(uint64(i), true)
		began, recovered := p.turnSlow(i, slowdown)
		name := workerName(i)
		ejected, restored := p.ejected[name].Sub(began), p.restored[name].Sub(recovered)
		t.Logf("%s %v times slow: ejected %v after it began, restored %v after it was over", name, slowdown, ejected, restored)
		if len(p.ejected) != 1 || ejected < 0 || ejected > 2*time.Second {
			t.Errorf("%s is %v times slow; ejected: %v", name, slowdown, p.ejected)
		}
		if restored < 0 || restored > 10*time.Second {
			t.Errorf("%s is restored %v after its recovery", name, restored)
		}
	}
}

// TestServerTurnsSlowAmongEqual checks that a slowed server is also ejected and restored in time where all
// servers are taken to be equally fast.
func TestServerTurnsSlowAmongEqual(t *testing.T) {
	const slowdown = 5
	p := newUnequalSim(1, false)
	for i := range p.workers {
		p.workers[i].factor = 1
	}
	began, recovered := p.turnSlow(0, slowdown)
	ejected, restored := p.ejected[workerName(0)].Sub(began), p.restored[workerName(0)].Sub(recovered)
	if ejected < 0 || ejected > 2*time.Second || restored < 0 || restored > 10*time.Second {
		t.Errorf("ejected %v after it began, restored %v after it was over", ejected, restored)
	}
}

// TestAllSpeedsForgotten checks that servers which all restart at once are first taken to be equally fast,
// that none is ejected for it, and that their time factors are measured again within ten seconds.
func TestAllSpeedsForgotten(t *testing.T) {
	p := newUnequalSim(4, true)
	p.run(10 * time.Second)
	p.crashAll()
	for _, v := range p.core.Workers() {
		if v.TimeFactor != 0 {
			t.Errorf("%s has time factor %d in its new incarnation", v.Address, v.TimeFactor)
		}
	}
	p.run(10 * time.Second)
	for i := range p.workers {
		if w := &p.workers[i]; math.Abs(w.meter.TimeFactor()/w.factor-1) > 0.15 {
			t.Errorf("the time factor of %s is %.2f, want about %.1f", workerName(i), w.meter.TimeFactor(), w.factor)
		}
	}
	if len(p.ejected) > 0 {
		t.Errorf("ejected: %v", p.ejected)
	}
}

// crashAll has all backend servers crash and restart, each on another kind of machine.
func (p *unequalSim) crashAll() {
	p.restarts++
	for i := range p.workers {
		w := &p.workers[i]
		m := &wire.RunEnds{}
		for _, r := range w.running {
			m.Ends = append(m.Ends, wire.RunEnd{Ref: r.order.Ref, How: uint8(wire.EndCrashed), Instance: workerName(i)})
		}
		p.core.Ends(p.now, workerName(i), m)
		*w = unequalWorker{meter: speed.New(), factor: timeFactors[(i+p.restarts)%len(timeFactors)], slowdown: 1, free: unequalCapacity, seq: w.seq}
		p.status(i)
	}
}

// turnSlow multiplies the times of runs on the worker by slowdown for 15 s, and returns the beginning and
// the end of that period.
func (p *unequalSim) turnSlow(i int, slowdown float64) (began, recovered time.Time) {
	p.run(10 * time.Second)
	p.workers[i].slowdown = slowdown
	began = p.now
	p.run(15 * time.Second)
	p.workers[i].slowdown = 1
	recovered = p.now
	p.run(15 * time.Second)
	return began, recovered
}
