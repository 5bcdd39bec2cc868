package scheduler

import (
	"container/heap"
	"time"
)

// readyQueue holds the tasks of one service that want a worker.
type readyQueue struct {
	onTime  taskHeap // can still begin by their due time
	overdue taskHeap // cannot; they get what room the others leave
}

func newReadyQueue() *readyQueue {
	return &readyQueue{
		onTime:  taskHeap{before: onTimeBefore},
		overdue: taskHeap{before: overdueBefore},
	}
}

// onTimeBefore goes by turn, and where that is the same, as for all that is left of a job that
// has begun, puts that first after which the most work comes.
func onTimeBefore(a, b *task) bool {
	if d := a.sortKey.Compare(b.sortKey); d != 0 {
		return d < 0
	}
	return a.due.Before(b.due)
}

// overdueBefore puts jobs that have begun first: they hold work that is of no use
// alone.
func overdueBefore(a, b *task) bool {
	if begun := a.job.begun(); begun != b.job.begun() {
		return begun
	}
	return a.due.Before(b.due)
}

func (q *readyQueue) Len() int { return q.onTime.Len() + q.overdue.Len() }

func (q *readyQueue) push(now time.Time, t *task) {
	t.sortKey = t.virtualDeadline()
	t.heap = &q.onTime
	if t.isOverdue(now) {
		t.heap = &q.overdue
	}
	heap.Push(t.heap, t)
}

// moveOverdue moves the tasks whose due time is over to the overdue ones.
func (q *readyQueue) moveOverdue(now time.Time) {
	for i := 0; i < q.onTime.Len(); {
		t := q.onTime.tasks[i]
		if !t.isOverdue(now) {
			i++
			continue
		}
		heap.Remove(&q.onTime, i)
		q.push(now, t)
	}
}

// setBegun sets how many of the job's tasks are with workers, and whether one has
// run. The place of its other tasks in the queue follows from whether it has begun.
func (c *Core) setBegun(now time.Time, j *job, assigned int, ran bool) {
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

// readyTasks lets the tasks of a job wait for a worker whose earlier steps are done.
func (c *Core) readyTasks(now time.Time, j *job) {
	if !j.accepted || j.reconciling || j.state.Final() {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskBlocked && j.dependenciesDone(t.step) {
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
	if t.job.reconciling {
		t.state = taskBlocked
		return
	}
	if t.suspended(now) {
		t.state = taskBlocked
		c.suspended[t] = struct{}{}
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

// unqueue takes the task back: it does not want a worker any more.
func (c *Core) unqueue(t *task) {
	delete(c.suspended, t)
	if t.position >= 0 {
		heap.Remove(t.heap, t.position)
	}
}
