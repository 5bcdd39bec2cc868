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

// kindOfJob is one kind of the load.
type kindOfJob struct {
	name     string
	priority int32
	perS     float64 // jobs a second that come to ten workers
	width    uint32
	work     time.Duration // of each task
	rack     string        // of its data; empty if that makes no difference
}

// loadSetting says what is played.
type loadSetting struct {
	kinds        []kindOfJob
	coordinators int
	workers      int
	seeds        uint64 // how many are played
	policy       scheduler.LoadPolicy
	sharers      float64                             // what each coordinator takes for the number of those that share a worker
	burst        func(kind int) float64              // how many times as many jobs come in the burst
	callers      func(p *loadPlay, core int) float64 // weight of a coordinator's callers now; nil if all have the same
	factor       func(worker int) float64            // of the times of runs; nil if all are alike
	backOff      bool                                // a worker that handed back is left alone for 5 to 20 ms
	also         func(p *loadPlay, at time.Duration) // is done in each millisecond; may be nil
	onStart      func(w *loadWorker, r *loadRun)     // is done as a run starts; may be nil
}

// The load's room and course.
const (
	loadWorkers  = 10
	loadCapacity = 32_000 // thousandths of a core at each worker
	loadLength   = 8 * time.Second
	burstFrom    = 2 * time.Second
	burstTo      = 5 * time.Second
	calmAgain    = burstTo + time.Second
	burstX       = 1.75
	loadSpread   = 0.3 // of needs and times, to both sides
)

// outcome is what became of some jobs.
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

// orders counts what workers were sent in a part of the load.
type orders struct{ sent, handedBack, asks int }

// backShare returns the share of the orders that was handed back.
func (o *orders) backShare() float64 { return float64(o.handedBack) / float64(max(1, o.sent)) }

// loadResult is what became of a load.
type loadResult struct {
	kinds  []outcome
	cores  []outcome       // by coordinator
	calm   orders          // before the burst, and from a second after it
	over   orders          // in the burst
	starts []time.Duration // from handing in to the first start, before the burst
	left   []string        // what should not be so at the end of a load
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
		pair[0].asks += pair[1].asks
	}
	r.starts = append(r.starts, b.starts...)
}

// loadJob is a job of the load.
type loadJob struct {
	kind, core int
	due        time.Time
}

// loadPlay plays a load in virtual time: callers, coordinators, the links between those and
// workers, and workers that start what fits.
type loadPlay struct {
	set     loadSetting
	seed    uint64
	random  *rand.Rand // of the callers: they are the same whatever becomes of their jobs
	now     time.Time
	began   time.Time
	events  loadEvents
	order   int
	cores   []*loadCore
	workers []*loadWorker
	jobs    map[scheduler.Call]loadJob
	next    scheduler.Call
	waiting map[durable.JobID]time.Time // when the jobs came of which nothing has started
	out     loadResult
	twice   []string // tasks that ran twice at once
	// evacuated is the data centre in which nothing may be started.
	evacuated string
}

// loadCore is a coordinator and its links.
type loadCore struct {
	number int
	name   string
	core   *scheduler.Core
	delay  time.Duration // to and from each worker
	down   bool
}

func newLoad(seed uint64, set loadSetting) *loadPlay {
	p := &loadPlay{
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

// newCore returns a coordinator that is up to 1.5 ms away from all workers; every fourth is
// a small box, which takes 3 ms more.
func (p *loadPlay) newCore(seed uint64, i int) *loadCore {
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

// dataCentreOf puts a third of the workers and a little more into data centre b.
func dataCentreOf(i int) string { return string("aab"[i%3]) }

// hashed returns a number from 0 to 1 by the hash of the name.
func hashed(format string, args ...any) float64 {
	h := fnv.New32a()
	fmt.Fprintf(h, format, args...)
	return float64(h.Sum32()%1000) / 1000
}

// uneven gives the busiest coordinator some three times the callers of the least.
func uneven(_ *loadPlay, core int) float64 { return 1 + 2*hashed("coordinator %d", core) }

// at returns how long the load has been played.
func (p *loadPlay) at() time.Duration { return p.now.Sub(p.began) }

// bursts returns whether the burst is on.
func (p *loadPlay) bursts() bool { return p.at() >= burstFrom && p.at() < burstTo }

// part returns the counts of this part of the load.
func (p *loadPlay) part() *orders {
	switch {
	case p.bursts():
		return &p.out.over
	case p.at() < burstFrom || p.at() >= calmAgain:
		return &p.out.calm
	}
	return &orders{}
}

// loadEvent is something that happens at a moment.
type loadEvent struct {
	at    time.Time
	order int // among those of one moment
	do    func()
}

// loadEvents is a heap of events.
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

// after has something happen later.
func (p *loadPlay) after(d time.Duration, do func()) {
	p.order++
	heap.Push(&p.events, loadEvent{p.now.Add(d), p.order, do})
}

// every has something happen again and again.
func (p *loadPlay) every(d time.Duration, do func()) {
	p.after(d, func() {
		do()
		p.every(d, do)
	})
}

// play plays the load.
func (p *loadPlay) play() *loadResult {
	const tick = 20 * time.Millisecond
	p.every(time.Millisecond, p.millisecond)
	for _, k := range p.cores {
		p.every(tick, func() { p.tell(k, k.core.Tick) })
	}
	for _, w := range p.workers {
		p.every(tick, func() { w.settle(nil, false) })
	}
	for len(p.events) > 0 && p.at() < loadLength+2*time.Second {
		e := heap.Pop(&p.events).(loadEvent)
		p.now = e.at
		e.do()
	}
	return &p.out
}

// millisecond has the callers send their jobs.
func (p *loadPlay) millisecond() {
	if p.at() <= loadLength {
		p.send()
	}
	if p.set.also != nil {
		p.set.also(p, p.at())
	}
}

// around returns a value near x, by a number from 0 to 1.
func around(x, by float64) float64 { return x * (1 + loadSpread*(2*by-1)) }

// send sends the jobs of this millisecond.
func (p *loadPlay) send() {
	for i, k := range p.set.kinds {
		x := k.perS / 1000 * float64(p.set.workers) / loadWorkers
		if p.bursts() {
			x *= p.set.burst(i)
		}
		if p.random.Float64() < x {
			p.submit(i, p.cores[p.drawCore()])
		}
	}
}

// drawCore returns the coordinator that a caller comes to.
func (p *loadPlay) drawCore() int {
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

// submit hands a job to the coordinator.
func (p *loadPlay) submit(kind int, k *loadCore) {
	if k.down {
		return // its callers go elsewhere, and are not counted
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
	p.tell(k, func(now time.Time) { k.core.Submit(now, call, s, 1500*time.Millisecond) })
}

// tell tells a coordinator something, and carries out what it decides.
func (p *loadPlay) tell(k *loadCore, what func(now time.Time)) {
	if k.down {
		return
	}
	what(p.now)
	e := k.core.Take(p.now)
	for _, s := range e.Sends {
		w := p.workers[slices.IndexFunc(p.workers, func(w *loadWorker) bool { return w.name == s.Worker })]
		life := w.life
		p.after(k.delay, func() { w.take(k, life, s.Message) })
	}
	for _, r := range e.Replies {
		p.answered(r)
	}
}

func (p *loadPlay) answered(r scheduler.Reply) {
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

// startedOne notes that a task of the job has started.
func (p *loadPlay) startedOne(job durable.JobID) {
	came, is := p.waiting[job]
	delete(p.waiting, job)
	if is && p.at() < burstFrom {
		p.out.starts = append(p.out.starts, p.now.Sub(came))
	}
}

// evacuate has all coordinators and workers hear that nothing may be started in the data
// centre.
func (p *loadPlay) evacuate(dataCentre string) {
	p.evacuated = dataCentre
	for _, k := range p.cores {
		p.tell(k, func(now time.Time) {
			k.core.Evacuate(now, routing.Evacuations{Offset: 2, DataCentres: []string{dataCentre}})
		})
	}
	for _, w := range p.workers {
		w.settle(p.cores, false)
	}
}

// kill ends a coordinator without a word. Its callers are not counted further.
func (p *loadPlay) kill(k *loadCore) {
	k.down = true
	for _, w := range p.workers {
		w.lost(k)
	}
}

// whatIsLeft returns what should not be so once no more jobs come: callers without an
// answer, room that is not free, asks that stand.
func (p *loadPlay) whatIsLeft() []string {
	out := p.twice
	for _, j := range p.jobs {
		if k := p.cores[j.core]; !k.down {
			out = append(out, "no answer from "+k.name)
		}
	}
	for _, w := range p.workers {
		if w.free.CPU != loadCapacity {
			out = append(out, fmt.Sprintf("%s has %d free", w.name, w.free.CPU))
		}
		if w.room.Sharing() {
			out = append(out, w.name+" is asked for room")
		}
	}
	return out
}

// playLoads plays a load with some seeds, and adds up what became of it.
func playLoads(set loadSetting) *loadResult {
	sum := &loadResult{kinds: make([]outcome, len(set.kinds)), cores: make([]outcome, set.coordinators)}
	for seed := range set.seeds {
		p := newLoad(seed, set)
		sum.add(p.play())
		sum.left = append(sum.left, p.whatIsLeft()...)
	}
	return sum
}
