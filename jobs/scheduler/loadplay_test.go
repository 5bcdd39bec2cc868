package scheduler_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
)

// kindOfJob is one kind of jobs of a load.
type kindOfJob struct {
	name      string
	priority  int32
	perSecond float64 // jobs a second for each ten workers
	width     uint32
	work      time.Duration // of each task
	rack      string        // of its data; empty if the rack makes no difference
}

// loadConfig configures a simulation.
type loadConfig struct {
	kinds           []kindOfJob
	coordinators    int
	workers         int
	seeds           uint64 // number of simulations, with seeds from 0
	policy          scheduler.LoadPolicy
	sharers         float64                            // number of coordinators that each takes to share a worker
	burst           func(kind int) float64             // factor on the rate of a kind in the burst
	callers         func(p *loadSim, core int) float64 // present weight of its callers; nil if all are equal
	factor          func(worker int) float64           // of the times of runs on a worker; nil if all are 1
	backOff         bool                               // after a hand-back the worker gets no orders for 5 to 20 ms
	eachMillisecond func(p *loadSim, at time.Duration) // called each millisecond; may be nil
	onStart         func(w *loadWorker, r *loadRun)    // called as a run starts; may be nil
}

// Capacity and phases of a load.
const (
	loadWorkers  = 10
	loadCapacity = 32_000 // thousandths of a core at each worker
	loadLength   = 8 * time.Second
	burstFrom    = 2 * time.Second
	burstTo      = 5 * time.Second
	calmFrom     = burstTo + time.Second
	burstX       = 1.75
	loadSpread   = 0.3 // relative spread of needs and times, in both directions
)

// outcome counts jobs by what became of them.
type outcome struct{ sent, inTime, refused int }

// share returns the share that was answered in time.
func (o *outcome) share() float64 { return float64(o.inTime) / float64(max(1, o.sent)) }

// missedShare returns the share that was refused or late.
func (o *outcome) missedShare() float64 { return 1 - o.share() }

func (o *outcome) add(b outcome) {
	o.sent += b.sent
	o.inTime += b.inTime
	o.refused += b.refused
}

// orders counts the messages to workers in a phase of the load.
type orders struct{ sent, handedBack, requests int }

// handedBackShare returns the share of the ordered runs that workers handed back.
func (o *orders) handedBackShare() float64 { return float64(o.handedBack) / float64(max(1, o.sent)) }

// loadResult is the result of a simulation.
type loadResult struct {
	kinds  []outcome
	cores  []outcome       // by coordinator
	calm   orders          // before the burst, and from one second after it
	over   orders          // in the burst
	starts []time.Duration // from submission to the first start, of jobs that started before the burst
	left   []string        // violations at the end of a simulation
}

func (r *loadResult) add(b *loadResult) {
	for i := range b.kinds {
		r.kinds[i].add(b.kinds[i])
	}
	for i := range b.cores {
		r.cores[i].add(b.cores[i])
	}
	for _, pair := range [][2]*orders{{&r.calm, &b.calm}, {&r.over, &b.over}} {
		pair[0].sent += pair[1].sent
		pair[0].handedBack += pair[1].handedBack
		pair[0].requests += pair[1].requests
	}
	r.starts = append(r.starts, b.starts...)
}

// loadJob is a job of the load.
type loadJob struct {
	kind, core int
	due        time.Time
}

// loadSim simulates a load in virtual time: callers, coordinators, workers that start what fits, and
// the links between coordinators and workers.
type loadSim struct {
	set      loadConfig
	seed     uint64
	random   *rand.Rand // for the callers only, so that they are the same whatever becomes of their jobs
	now      time.Time
	began    time.Time
	events   loadEvents
	order    int
	cores    []*loadCore
	workers  []*loadWorker
	jobs     map[scheduler.Call]loadJob
	next     scheduler.Call
	waiting  map[durable.JobID]time.Time // arrival of the jobs of which no task has started
	out      loadResult
	ranTwice []string // tasks that ran on two workers at once
	// evacuated is the data centre where no task may be started; empty if there is none.
	evacuated string
}

// loadCore is a coordinator.
type loadCore struct {
	number int
	name   string
	core   *scheduler.Core
	delay  time.Duration // of messages to and from each worker
	down   bool
}

func newLoadSim(seed uint64, set loadConfig) *loadSim {
	p := &loadSim{
		set:     set,
		seed:    seed,
		random:  rand.New(rand.NewPCG(seed, 9)),
		now:     time.Unix(1000, 0),
		began:   time.Unix(1000, 0),
		jobs:    make(map[scheduler.Call]loadJob),
		waiting: make(map[durable.JobID]time.Time),
		out:     loadResult{kinds: make([]outcome, len(set.kinds)), cores: make([]outcome, set.coordinators)},
	}
	for i := range set.workers {
		p.workers = append(p.workers, newLoadWorker(p, i))
	}
	for i := range set.coordinators {
		p.cores = append(p.cores, p.newCore(seed, i))
	}
	for _, k := range p.cores {
		for _, w := range p.workers {
			w.connect(k)
		}
	}
	return p
}

// newCore returns a coordinator whose messages take 0.5 to 1.5 ms. Every fourth is a small box, which
// takes 3 ms more.
func (p *loadSim) newCore(seed uint64, i int) *loadCore {
	const near, far, small = 500 * time.Microsecond, 1500 * time.Microsecond, 3 * time.Millisecond
	k := &loadCore{number: i, name: fmt.Sprintf("c%d", i), delay: near + time.Duration(i)*(far-near)/time.Duration(max(1, p.set.coordinators-1))}
	if i%4 == 3 {
		k.delay += small
	}
	cfg := config.DefaultScheduler()
	settings := cfg.Core(dataCentreOf(i))
	settings.Load = p.set.policy
	k.core = scheduler.New(settings, seed+uint64(i)<<32)
	k.core.Evacuate(p.now, routing.Evacuations{Offset: 1})
	k.core.SetSharers("s", p.set.sharers)
	return k
}

// dataCentreOf puts every third coordinator and worker into data centre b, the others into a.
func dataCentreOf(i int) string { return string("aab"[i%3]) }

// hashed returns a number from 0 to 1 that depends on the formatted string alone.
func hashed(format string, args ...any) float64 {
	h := fnv.New32a()
	fmt.Fprintf(h, format, args...)
	return float64(h.Sum32()%1000) / 1000
}

// uneven weights callers so that the busiest coordinator has some three times as many as the least busy.
func uneven(_ *loadSim, core int) float64 { return 1 + 2*hashed("coordinator %d", core) }

// at returns the virtual time since the start of the simulation.
func (p *loadSim) at() time.Duration { return p.now.Sub(p.began) }

// bursts returns whether the burst is going on.
func (p *loadSim) bursts() bool { return p.at() >= burstFrom && p.at() < burstTo }

// part returns the counts of the present phase of the load.
func (p *loadSim) part() *orders {
	switch {
	case p.bursts():
		return &p.out.over
	case p.at() < burstFrom || p.at() >= calmFrom:
		return &p.out.calm
	}
	return &orders{}
}

// loadEvent is an event of the simulation.
type loadEvent struct {
	at    time.Time
	order int // sequence number, for events of the same time
	do    func()
}

// loadEvents is a heap of events by time.
type loadEvents []loadEvent

func (q loadEvents) Len() int { return len(q) }
func (q loadEvents) Less(i, k int) bool {
	if !q[i].at.Equal(q[k].at) {
		return q[i].at.Before(q[k].at)
	}
	return q[i].order < q[k].order
}
func (q loadEvents) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *loadEvents) Push(x any)   { *q = append(*q, x.(loadEvent)) }
func (q *loadEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules an event.
func (p *loadSim) after(d time.Duration, do func()) {
	p.order++
	heap.Push(&p.events, loadEvent{p.now.Add(d), p.order, do})
}

// every schedules an event that repeats.
func (p *loadSim) every(d time.Duration, do func()) {
	p.after(d, func() {
		do()
		p.every(d, do)
	})
}

// run runs the simulation.
func (p *loadSim) run() *loadResult {
	const tick = 20 * time.Millisecond
	p.every(time.Millisecond, p.millisecond)
	for _, k := range p.cores {
		p.every(tick, func() { p.deliver(k, k.core.Tick) })
	}
	for _, w := range p.workers {
		p.every(tick, func() { w.shareCapacity(nil, false) })
	}
	for len(p.events) > 0 && p.at() < loadLength+2*time.Second {
		e := heap.Pop(&p.events).(loadEvent)
		p.now = e.at
		e.do()
	}
	return &p.out
}

// millisecond submits the jobs of this millisecond, and calls eachMillisecond.
func (p *loadSim) millisecond() {
	if p.at() <= loadLength {
		p.send()
	}
	if p.set.eachMillisecond != nil {
		p.set.eachMillisecond(p, p.at())
	}
}

// around spreads x by loadSpread; by is a number from 0 to 1.
func around(x, by float64) float64 { return x * (1 + loadSpread*(2*by-1)) }

// send draws and submits the jobs of this millisecond.
func (p *loadSim) send() {
	for i, k := range p.set.kinds {
		x := k.perSecond / 1000 * float64(p.set.workers) / loadWorkers
		if p.bursts() {
			x *= p.set.burst(i)
		}
		if p.random.Float64() < x {
			p.submit(i, p.cores[p.drawCore()])
		}
	}
}

// drawCore draws the coordinator that a caller submits to.
func (p *loadSim) drawCore() int {
	if p.set.callers == nil {
		return p.random.IntN(len(p.cores))
	}
	sum := 0.0
	for i := range p.cores {
		sum += p.set.callers(p, i)
	}
	drawn := sum * p.random.Float64()
	for i := range p.cores {
		if drawn -= p.set.callers(p, i); drawn < 0 {
			return i
		}
	}
	return len(p.cores) - 1
}

// submit submits a job to the coordinator.
func (p *loadSim) submit(kind int, k *loadCore) {
	if k.down {
		return // its callers use other coordinators, and are not counted
	}
	p.next++
	call, work := p.next, p.set.kinds[kind].work
	s := &durable.Submission{
		ID: durable.JobID(fmt.Sprintf("%016x", call)), BestEffort: true,
		Queue: durable.Queue{Name: p.set.kinds[kind].name, Service: "s", Priority: p.set.kinds[kind].priority, MaxAttempts: 3, Stretch: 1.6, TargetMS: 60},
		Steps: []durable.Step{{Count: p.set.kinds[kind].width, Need: durable.Resources{CPU: int64(around(3300, p.random.Float64())), Memory: 64}, EstimateMS: int64(around(float64(work.Milliseconds()), p.random.Float64())), Affinity: p.set.kinds[kind].rack}},
	}
	p.jobs[call] = loadJob{kind, k.number, p.now.Add(time.Duration(1.6*float64(work)) + 60*time.Millisecond)}
	p.waiting[s.ID] = p.now
	p.out.kinds[kind].sent++
	p.out.cores[k.number].sent++
	p.deliver(k, func(now time.Time) { k.core.Submit(now, call, s, 1500*time.Millisecond) })
}

// deliver passes an event to a coordinator, and carries out the effects.
func (p *loadSim) deliver(k *loadCore, event func(now time.Time)) {
	if k.down {
		return
	}
	event(p.now)
	e := k.core.Take(p.now)
	for _, s := range e.Sends {
		w := p.workers[slices.IndexFunc(p.workers, func(w *loadWorker) bool { return w.name == s.Worker })]
		incarnation := w.incarnation
		p.after(k.delay, func() { w.receive(k, incarnation, s.Message) })
	}
	for _, r := range e.Replies {
		p.answered(r)
	}
}

func (p *loadSim) answered(r scheduler.Reply) {
	j, is := p.jobs[r.Call]
	if !is {
		return
	}
	delete(p.jobs, r.Call)
	for _, o := range []*outcome{&p.out.kinds[j.kind], &p.out.cores[j.core]} {
		switch {
		case r.Failure == failure.Overloaded:
			o.refused++
		case r.State == durable.Completed && !p.now.After(j.due):
			o.inTime++
		}
	}
}

// noteStart records that a task of the job has started.
func (p *loadSim) noteStart(job durable.JobID) {
	came, is := p.waiting[job]
	delete(p.waiting, job)
	if is && p.at() < burstFrom {
		p.out.starts = append(p.out.starts, p.now.Sub(came))
	}
}

// evacuate evacuates the data centre: all coordinators and workers are informed at once.
func (p *loadSim) evacuate(dataCentre string) {
	p.evacuated = dataCentre
	for _, k := range p.cores {
		p.deliver(k, func(now time.Time) {
			k.core.Evacuate(now, routing.Evacuations{Offset: 2, DataCentres: []string{dataCentre}})
		})
	}
	for _, w := range p.workers {
		w.shareCapacity(p.cores, false)
	}
}

// kill stops a coordinator without notice. Its callers are not counted from then on.
func (p *loadSim) kill(k *loadCore) {
	k.down = true
	for _, w := range p.workers {
		w.disconnect(k)
	}
}

// leftovers returns the violations once no more jobs arrive: tasks that ran twice at once, callers
// without a reply, capacity that is not free, and active capacity requests.
func (p *loadSim) leftovers() []string {
	out := p.ranTwice
	for _, j := range p.jobs {
		if k := p.cores[j.core]; !k.down {
			out = append(out, "no reply from "+k.name)
		}
	}
	for _, w := range p.workers {
		if w.free.CPU != loadCapacity {
			out = append(out, fmt.Sprintf("%s has %d free", w.name, w.free.CPU))
		}
		if w.room.Sharing() {
			out = append(out, w.name+" has active capacity requests")
		}
	}
	return out
}

// simulateLoads simulates a load with each seed, and returns the sum of the results.
func simulateLoads(set loadConfig) *loadResult {
	sum := &loadResult{kinds: make([]outcome, len(set.kinds)), cores: make([]outcome, set.coordinators)}
	for seed := range set.seeds {
		p := newLoadSim(seed, set)
		sum.add(p.run())
		sum.left = append(sum.left, p.leftovers()...)
	}
	return sum
}
