package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/durable"
	"github.com/lichenfall/lichenfall/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// readyQueue holds the tasks of one service that want a worker.
type readyQueue struct {
	onTime taskHeap // can still begin by their due time
	late   taskHeap // cannot; they get what room the others leave
}

func newReadyQueue() *readyQueue {
	return &readyQueue{
		onTime: taskHeap{before: func(a, b *task) bool { return a.want.Before(b.want) }},
		late:   taskHeap{before: lateBefore},
	}
}

// lateBefore puts jobs that have begun first: they hold work that is of no use
// alone.
func lateBefore(a, b *task) bool {
	if a.job.begun != b.job.begun {
		return a.job.begun
	}
	return a.due.Before(b.due)
}

func (q *readyQueue) Len() int { return q.onTime.Len() + q.late.Len() }

func (q *readyQueue) push(now time.Time, t *task) {
	t.heap = &q.onTime
	if t.isLate(now) {
		t.heap = &q.late
	}
	heap.Push(t.heap, t)
}

// isLate returns whether the task should only have what room others leave. A
// job of which little is left is finished as long as its answer is of use.
func (t *task) isLate(now time.Time) bool {
	if t.job.left*littleLeft <= len(t.job.tasks) {
		return now.After(t.job.late)
	}
	return now.After(t.due)
}

// littleLeft is the share of a job, as a divisor, that is worth finishing late.
const littleLeft = 4

// begin marks the job as begun; what is left of it comes first from now on.
func (c *Core) begin(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	j.hurry()
}

// hurry puts what is left of the job before all others.
func (j *job) hurry() {
	for i := range j.tasks {
		t := &j.tasks[i]
		t.want = j.received.Add(-begunFirst)
		if t.position >= 0 {
			heap.Fix(t.heap, t.position)
		}
	}
}

// begunFirst puts the tasks of jobs that have begun before all others, in the
// order in which the jobs came.
const begunFirst = time.Hour

// sortLate moves the tasks whose due time is over to the late ones.
func (q *readyQueue) sortLate(now time.Time) {
	for i := 0; i < q.onTime.Len(); {
		t := q.onTime.tasks[i]
		if !t.isLate(now) {
			i++
			continue
		}
		heap.Remove(&q.onTime, i)
		q.push(now, t)
	}
}

// taskHeap is a heap of tasks in some order.
type taskHeap struct {
	tasks  []*task
	before func(a, b *task) bool
}

func (q *taskHeap) Len() int { return len(q.tasks) }

func (q *taskHeap) Less(i, k int) bool { return q.before(q.tasks[i], q.tasks[k]) }

func (q *taskHeap) Swap(i, k int) {
	q.tasks[i], q.tasks[k] = q.tasks[k], q.tasks[i]
	q.tasks[i].position, q.tasks[k].position = i, k
}

// Push is called by container/heap.
func (q *taskHeap) Push(x any) {
	t := x.(*task)
	t.position = len(q.tasks)
	q.tasks = append(q.tasks, t)
}

// Pop is called by container/heap.
func (q *taskHeap) Pop() any {
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
func (c *Core) enqueue(now time.Time, t *task) {
	if t.job.state.Final() || t.position >= 0 {
		return
	}
	if t.job.doubt {
		t.state = taskBlocked
		return
	}
	t.state = taskReady
	c.readyOf(t.job.sub.Queue.Service).push(now, t)
}

func (c *Core) readyOf(service string) *readyQueue {
	q := c.ready[service]
	if q == nil {
		q = newReadyQueue()
		c.ready[service] = q
	}
	return q
}

func (c *Core) unqueue(t *task) {
	if t.position >= 0 {
		heap.Remove(t.heap, t.position)
	}
}

func (c *Core) assign(now time.Time, t *task, w *worker) {
	t.state = taskAssigned
	t.worker = w
	t.sentAt = now
	t.startSeq = 0
	c.begin(t.job)
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
	for _, service := range ordered.Keys(c.ready) {
		q := c.ready[service]
		if q.Len() == 0 {
			continue
		}
		q.sortLate(now)
		workers := c.candidates(now, service)
		if c.dispatchHeap(now, &q.onTime, workers, true, orders) {
			c.dispatchHeap(now, &q.late, workers, false, orders)
		}
	}
	for _, w := range ordered.KeysFunc(orders, byName) {
		m := orders[w]
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
	full   bool // handed a task back just now
}

// candidates returns the workers of the service that take tasks.
func (c *Core) candidates(now time.Time, service string) []candidate {
	var out []candidate
	var slow []float64
	for _, w := range c.sample() {
		if !w.up || !w.status.Ready || w.status.Service != service || now.Sub(w.heardAt) > c.cfg.Suspect {
			continue
		}
		free := w.status.Free
		for t := range w.assigned {
			if t.startSeq > w.status.StartSeq {
				free = free.Sub(t.step.Need)
			}
		}
		out = append(out, candidate{w: w, free: free, jitter: c.random.Float64() * spread, full: now.Before(w.fullUntil)})
		slow = append(slow, w.judge.slowness)
	}
	slices.Sort(slow)
	for i := range out {
		out[i].shaky = c.shaky(now, out[i].w, slow[len(slow)/2])
	}
	return out
}

// mostLooked is how many workers are looked at in one round, so that a task
// costs the same however many there are.
const mostLooked = 64

// sample returns the workers to look at in this round: all, or a run of them
// that begins anywhere.
func (c *Core) sample() []*worker {
	n := len(c.order)
	if n <= mostLooked {
		return c.order
	}
	at := c.random.IntN(n)
	if at+mostLooked <= n {
		return c.order[at : at+mostLooked]
	}
	return slices.Concat(c.order[at:], c.order[:at+mostLooked-n])
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

// dispatchHeap orders what it can of the heap, and returns whether nothing is
// left that could have been ordered with more room.
func (c *Core) dispatchHeap(now time.Time, q *taskHeap, workers []candidate, wait bool, orders map[*worker]*wire.StartRuns) bool {
	var passed []*task
	for q.Len() > 0 && len(passed) < lookAhead {
		t := heap.Pop(q).(*task)
		epoch, ok := c.epochOf(t.job)
		if !ok {
			passed = append(passed, t)
			continue
		}
		cand := c.choose(t, workers, wait)
		if cand == nil {
			passed = append(passed, t)
			continue
		}
		c.orderRun(now, epoch, t, cand, orders)
	}
	for _, t := range passed {
		heap.Push(q, t)
	}
	return len(passed) == 0
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

func (c *Core) orderRun(now time.Time, epoch uint64, t *task, cand *candidate, orders map[*worker]*wire.StartRuns) {
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
func (c *Core) choose(t *task, workers []candidate, wait bool) *candidate {
	var best *candidate
	bestScore := 0.0
	for i := range workers {
		cand := &workers[i]
		score, ok := c.score(t, cand, wait)
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
	overcommit = 0.06 // share of the capacity that may wait at a worker
)

func (c *Core) score(t *task, cand *candidate, wait bool) (score float64, ok bool) {
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
	case wait && !cand.full && share > -overcommit && cand.w.status.Waiting < mostWaiting:
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

// mostWaiting is how many runs may wait at a worker to which more are sent
// that have to wait.
const mostWaiting = 2

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
