package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// readyQueue holds the tasks of one service that want a worker: those that can
// still be in time, the others, and those whose job is of no use any more.
type readyQueue struct {
	tasks []*task
}

func (q *readyQueue) Len() int { return len(q.tasks) }

func (q *readyQueue) Less(i, k int) bool { return q.tasks[i].due.Before(q.tasks[k].due) }

func (q *readyQueue) Swap(i, k int) {
	q.tasks[i], q.tasks[k] = q.tasks[k], q.tasks[i]
	q.tasks[i].position, q.tasks[k].position = i, k
}

// Push is called by container/heap.
func (q *readyQueue) Push(x any) {
	t := x.(*task)
	t.position = len(q.tasks)
	q.tasks = append(q.tasks, t)
}

// Pop is called by container/heap.
func (q *readyQueue) Pop() any {
	last := len(q.tasks) - 1
	t := q.tasks[last]
	q.tasks[last] = nil
	q.tasks = q.tasks[:last]
	t.position = -1
	return t
}

// release makes the tasks ready whose turn has come.
func (c *Core) release(now time.Time, j *job) {
	if !j.kept || j.doubt || j.state.Final() {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskBlocked && j.open(t.step) {
			t.state = taskReady
			c.enqueue(now, t)
		}
	}
}

// enqueue makes the task wait for a worker.
func (c *Core) enqueue(_ time.Time, t *task) {
	if t.job.state.Final() || t.position >= 0 {
		return
	}
	if t.job.doubt {
		t.state = taskBlocked
		return
	}
	t.state = taskReady
	q := c.ready[t.job.sub.Queue.Service]
	if q == nil {
		q = &readyQueue{}
		c.ready[t.job.sub.Queue.Service] = q
	}
	heap.Push(q, t)
}

func (c *Core) unqueue(t *task) {
	if t.position >= 0 {
		heap.Remove(c.ready[t.job.sub.Queue.Service], t.position)
	}
}

func (c *Core) assign(now time.Time, t *task, w *worker) {
	t.state = taskAssigned
	t.worker = w
	t.sentAt = now
	t.startSeq = 0
	t.job.begun = true
	w.assigned[t] = struct{}{}
}

func (c *Core) unassign(t *task) {
	if t.worker == nil {
		return
	}
	delete(t.worker.assigned, t)
	t.worker = nil
	if t.state == taskAssigned {
		t.state = taskBlocked
	}
}

// lookAhead is how many tasks that fit nowhere are passed over.
const lookAhead = 24

// dispatch sends ready tasks to workers with room.
func (c *Core) dispatch(now time.Time) {
	orders := make(map[*worker]*wire.StartRuns)
	for service, q := range c.ready {
		if q.Len() == 0 {
			continue
		}
		c.dispatchService(now, q, c.candidates(now, service), orders)
	}
	for w, m := range orders {
		w.startSeq++
		m.Seq = w.startSeq
		c.send(w.name, m)
	}
}

// candidate is a worker with what is free there, as far as we know.
type candidate struct {
	w      *worker
	free   durable.Resources
	shaky  bool // slow or failing against its peers
	jitter float64
}

// candidates returns the workers of the service that take tasks.
func (c *Core) candidates(now time.Time, service string) []candidate {
	var out []candidate
	var slow []float64
	for _, w := range c.workers {
		if !w.up || !w.status.Ready || w.status.Service != service || now.Sub(w.heardAt) > c.cfg.Suspect {
			continue
		}
		free := w.status.Free
		for t := range w.assigned {
			if t.startSeq > w.status.StartSeq {
				free = free.Sub(t.step.Need)
			}
		}
		out = append(out, candidate{w: w, free: free, jitter: c.random.Float64() * spread})
		slow = append(slow, w.judge.slowness)
	}
	slices.Sort(slow)
	for i := range out {
		out[i].shaky = c.shaky(now, out[i].w, slow[len(slow)/2])
	}
	return out
}

// spread is by how much of a worker's capacity the choice is left to chance, so
// that coordinators do not all choose the same.
const spread = 0.08

// Bounds beyond which a worker gets no more than a trickle.
const (
	slowX      = 2.2 // times the median of its peers
	failingMax = 0.35
	trickle    = time.Second
)

func (c *Core) shaky(now time.Time, w *worker, median float64) bool {
	if w.judge.slowness < slowX*median && w.judge.failing < failingMax {
		return false
	}
	return len(w.assigned) > 0 || now.Sub(w.judge.probedAt) < trickle
}

func (c *Core) dispatchService(now time.Time, q *readyQueue, workers []candidate, orders map[*worker]*wire.StartRuns) {
	var passed []*task
	for q.Len() > 0 && len(passed) < lookAhead {
		t := q.tasks[0]
		w := c.choose(t, workers)
		if w == nil {
			passed = append(passed, heap.Pop(q).(*task))
			continue
		}
		heap.Pop(q)
		epoch, ok := c.epochOf(t.job)
		if !ok {
			passed = append(passed, t)
			continue
		}
		c.order(now, epoch, t, w, orders)
	}
	for _, t := range passed {
		heap.Push(q, t)
	}
}

// epochOf returns the epoch under which the job's tasks may be ordered now.
func (c *Core) epochOf(j *job) (epoch uint64, ok bool) {
	if j.sub.BestEffort {
		return 0, true
	}
	p := c.partitions[j.id.Partition(c.cfg.Partitions)]
	if p == nil || p.suspended {
		return 0, false
	}
	return p.epoch, true
}

func (c *Core) order(now time.Time, epoch uint64, t *task, cand *candidate, orders map[*worker]*wire.StartRuns) {
	w := cand.w
	cand.free = cand.free.Sub(t.step.Need)
	if cand.shaky || w.judge.failing >= failingMax || w.judge.slowness >= slowX {
		w.judge.probedAt = now
	}
	t.nextRun(epoch)
	c.assign(now, t, w)
	t.startSeq = w.startSeq + 1
	m := orders[w]
	if m == nil {
		m = &wire.StartRuns{}
		orders[w] = m
	}
	m.Runs = append(m.Runs, wire.RunOrder{
		Ref:        t.ref(),
		Epoch:      epoch,
		BestEffort: t.job.sub.BestEffort,
		Spec:       t.job.sub.Spec,
		Need:       t.step.Need,
		Priority:   t.job.sub.Queue.Priority,
		DueMS:      t.due.Sub(now).Milliseconds(),
		Checkpoint: t.check,
	})
	c.note(Note{What: "run_ordered", Task: t.id.String(), Run: t.run, Worker: w.name, Number: now.Sub(t.job.received).Milliseconds(), Usual: true})
}

// choose returns the worker with the most room that the task may run on: a
// sound one where it fits, else a sound one where it waits a little, else any
// where it fits.
func (c *Core) choose(t *task, workers []candidate) *candidate {
	var best *candidate
	bestScore := 0.0
	for i := range workers {
		cand := &workers[i]
		score, ok := c.score(t, cand)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = cand, score
		}
	}
	return best
}

// Scores of a choice, before the share of the capacity that is free.
const (
	scoreFits  = 10.0
	scoreWaits = 5.0
	scoreNear  = 0.02 // same data centre
	scoreRack  = 1.0  // near the task's data
	overcommit = 0.12 // share of the capacity that may wait at a worker
)

func (c *Core) score(t *task, cand *candidate) (score float64, ok bool) {
	capacity := cand.w.status.Capacity
	if !t.step.Need.Fits(capacity) || !allowed(t, cand.w) || capacity.CPU == 0 {
		return 0, false
	}
	share := float64(cand.free.CPU) / float64(capacity.CPU)
	switch {
	case cand.shaky:
		return 0, false
	case t.step.Need.Fits(cand.free):
		score = scoreFits
	case share > -overcommit:
		score = scoreWaits
	default:
		return 0, false
	}
	if t.avoids(cand.w) {
		score -= scoreFits
	}
	if cand.w.dataCentre == c.cfg.DataCentre {
		score += scoreNear
	}
	if t.step.Affinity != "" && slices.Contains(cand.w.status.Labels, t.step.Affinity) {
		score += scoreRack
	}
	return score + share + cand.jitter, true
}

// allowed returns whether the step's constraints let the task run there.
func allowed(t *task, w *worker) bool {
	if t.step.Requires != "" && !slices.Contains(w.status.Labels, t.step.Requires) {
		return false
	}
	if t.step.AntiAffinity == 0 {
		return true
	}
	n := uint32(0)
	for o := range w.assigned {
		if o.job == t.job && o.id.Step == t.id.Step {
			n++
		}
	}
	return n < t.step.AntiAffinity
}
