package scheduler

import (
	"container/heap"
	"time"
)

// readyQueue holds the tasks of one service that want a worker.
type readyQueue struct {
	onTime taskHeap // can still begin by their due time
	late   taskHeap // cannot; they get what room the others leave
}

func newReadyQueue() *readyQueue {
	return &readyQueue{
		onTime: taskHeap{before: func(a, b *task) bool { return a.want().Before(b.want()) }},
		late:   taskHeap{before: lateBefore},
	}
}

// lateBefore puts jobs that have begun first: they hold work that is of no use
// alone.
func lateBefore(a, b *task) bool {
	if begun := a.job.begun(); begun != b.job.begun() {
		return begun
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
// job that has begun is finished as long as its answer is of use.
func (t *task) isLate(now time.Time) bool {
	if t.job.begun() {
		return now.After(t.job.late)
	}
	return now.After(t.due)
}

// mark sets how many of the job's tasks are with workers, and whether one has
// run. What is left of a job has its place in the queue by whether it has begun.
func (c *Core) mark(now time.Time, j *job, assigned int, ran bool) {
	before := j.begun()
	if (ran || assigned > 0) == before {
		j.assigned, j.ran = assigned, ran
		return
	}
	var queued []*task
	for i := range j.tasks {
		if t := &j.tasks[i]; t.position >= 0 {
			c.unqueue(t)
			queued = append(queued, t)
		}
	}
	j.assigned, j.ran = assigned, ran
	for _, t := range queued {
		c.readyOf(j.sub.Queue.Service).push(now, t)
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
