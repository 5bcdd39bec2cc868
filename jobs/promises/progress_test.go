package promises

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// The rule that users set for jobs that could go on: in calm, one with nothing running begins within
// standstill while there is capacity for it twice over and under half of all capacity is in use.
const (
	standstill    = 3 * time.Second
	calmBefore    = 4 * time.Second
	checkInterval = 50 * time.Millisecond
)

// progressCheck checks in a world that what can go on does. It knows the servers, what runs there and
// which runs have ended, and nothing of the product.
type progressCheck struct {
	w     *world
	from  time.Time                   // of the calm
	since map[durable.JobID]time.Time // from when each job could have begun
}

// watchProgress has the world check progress from the end of its present trouble on.
func (w *world) watchProgress() {
	p := &progressCheck{w: w, from: w.now.Add(calmBefore), since: make(map[durable.JobID]time.Time)}
	var check func()
	check = func() {
		p.check()
		w.after(checkInterval, check)
	}
	check()
}

func (p *progressCheck) check() {
	for _, id := range ordered.Keys(p.w.clients) {
		j := p.w.clients[id]
		if p.w.now.Before(p.from) || !p.couldBegin(j) {
			p.since[id] = p.w.now
			continue
		}
		if still := p.w.now.Sub(p.since[id]); still > standstill {
			p.w.violated("%s has stood still for %v beside servers that could run it", id, still)
		}
	}
}

// couldBegin returns whether nothing of an accepted job runs although a task's turn has come and there
// is capacity for it.
func (p *progressCheck) couldBegin(j *clientJob) bool {
	if !j.accepted || j.cancelSent || j.final.Final() || p.running(j) || 2*p.used() >= p.capacity() {
		return false
	}
	for i := range j.submission.Steps {
		if step := &j.submission.Steps[i]; j.turnOf(step) && !j.stepDone(i) && p.fits(step) {
			return true
		}
	}
	return false
}

// running returns whether any run of the job is at work.
func (p *progressCheck) running(j *clientJob) bool {
	for _, n := range p.w.workers {
		if !n.backend.up {
			continue
		}
		n.backend.endDueRuns()
		for ref := range n.backend.running {
			if ref.Task.Job == j.submission.ID {
				return true
			}
		}
	}
	return false
}

// used and capacity return the cores in use, and all cores, of the servers that are up.
func (p *progressCheck) used() int64 {
	used := p.capacity()
	for _, n := range p.w.workers {
		if n.backend.up {
			used -= n.backend.freeCapacity().CPU
		}
	}
	return used
}

func (p *progressCheck) capacity() int64 {
	all := int64(0)
	for _, n := range p.w.workers {
		if n.backend.up {
			all += n.backend.capacity.CPU
		}
	}
	return all
}

// fits returns whether there is capacity for a task of the step twice over, or a server that can run it is
// idle.
func (p *progressCheck) fits(step *durable.Step) bool {
	times := int64(0)
	for _, n := range p.w.workers {
		b := n.backend
		if !b.up || !b.canRun(step) {
			continue
		}
		if len(b.running) == 0 {
			return true
		}
		times += step.Need.CountIn(b.freeCapacity())
	}
	return times >= 2
}

// canRun returns whether the server, when idle, can run a task of the step.
func (b *backendNode) canRun(step *durable.Step) bool {
	return b.hasLabel(step.Requires) && step.Need.Fits(b.capacity)
}

// hasLabel returns whether the server has the label that a step requires, if it requires one.
func (b *backendNode) hasLabel(required string) bool {
	return required == "" || slices.Contains(b.labels, required)
}

// turnOf returns whether the steps that the step depends on are done.
func (j *clientJob) turnOf(step *durable.Step) bool {
	for _, d := range step.DependsOn {
		if !j.stepDone(int(d)) {
			return false
		}
	}
	return true
}

func (j *clientJob) stepDone(step int) bool {
	for k := range j.submission.Steps[step].Count {
		if len(j.doneRuns[durable.TaskID{Job: j.submission.ID, Step: uint32(step), Index: k}]) == 0 {
			return false
		}
	}
	return true
}

// The kinds of servers in the worlds of TestProgress.
const (
	commonKind = "a"
	rareKind   = "b"
	goneKind   = "z" // no server has it
	wideCores  = 64  // of a server that is wider than the others
)

// progressWorld draws a world of servers of several kinds and sizes, of which coordinators connect to a
// few in half of the worlds, and where in half of the worlds some of the rare kind are lost for good.
func progressWorld(seed uint64) *world {
	w := newWorldWith(seed, func(w *world) {
		for range 6 + w.random.IntN(10) {
			w.fleet = append(w.fleet, serverKind{commonKind, 8 + 8*w.random.Int64N(2)})
		}
		for range 1 + w.random.IntN(3) {
			w.fleet = append(w.fleet, serverKind{rareKind, 16})
		}
		if w.chance(0.5) {
			w.fleet = append(w.fleet, serverKind{commonKind, wideCores})
		}
		w.random.Shuffle(len(w.fleet), func(i, k int) { w.fleet[i], w.fleet[k] = w.fleet[k], w.fleet[i] })
		if w.chance(0.5) {
			w.subset = &config.Subset{Size: 3 + w.random.IntN(4), Coverage: 1}
		}
	})
	return w
}

// drawProgressJob returns job number n: an ordinary one, one that only few servers can run, one that none
// can, or one whose second step has many long tasks.
func drawProgressJob(w *world, n int) *clientJob {
	j := newClientJob(w, n, false)
	j.failsAlways = false
	j.taskTime = 200 * time.Millisecond
	first := durable.Step{Count: 2, Need: durable.Resources{CPU: 1000}, EstimateMS: 200}
	label, cores := "", int64(1)
	switch w.random.IntN(8) {
	case 0:
		label = rareKind
	case 1:
		label = goneKind
	case 2:
		cores = wideCores - 4
	case 3:
		cores = 2 * wideCores
	}
	steps := []durable.Step{first}
	if w.chance(0.15) {
		j.taskTime = 4 * time.Second
		steps = append(steps, durable.Step{Count: 10 + uint32(w.random.IntN(50)), Requires: label, Need: durable.Resources{CPU: 1000 * cores}, EstimateMS: 4000, DependsOn: []uint32{0}})
	} else {
		steps[0].Requires, steps[0].Need.CPU = label, 1000*cores
	}
	j.submission.Steps = steps
	return j
}

// TestProgress checks that what can go on does, in random worlds. It guards against jobs that stand still
// behind tasks that no server can run, and whose only servers their owner is not connected to.
func TestProgress(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", fewerCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	counts := make(map[string]int)
	found := 0
	for i := range cases {
		w := progressWorld(seed + i)
		playProgress(w)
		if w.violation != "" {
			found++
			t.Errorf("seed %d: %s", seed+i, w.violation)
		}
		for name, n := range w.counts {
			counts[name] += n
		}
	}
	t.Logf("%d cases, %d with jobs that stand still, %d jobs accepted, %d runs", cases, found, counts["accepted"], counts["runs"])
}

// playProgress plays a world: jobs come for some seconds, and before that servers of the rare kind may be
// lost, all but one.
func playProgress(w *world) {
	const (
		arrivals = 8 * time.Second
		jobs     = 40
	)
	w.run(warmUp)
	if w.chance(0.5) {
		w.loseRare()
	}
	w.watchProgress()
	for n := range jobs {
		j := drawProgressJob(w, n)
		w.after(w.between(0, arrivals), j.send)
	}
	w.run(calmBefore + arrivals + 2*standstill)
}

// loseRare ends the servers of the rare kind for good, all but one.
func (w *world) loseRare() {
	left := 1
	for i, k := range w.fleet {
		if k.label != rareKind {
			continue
		}
		if left > 0 {
			left--
			continue
		}
		w.workers[i].backend.crash()
		w.counts[fmt.Sprintf("lost: %s", k.label)]++
	}
}
