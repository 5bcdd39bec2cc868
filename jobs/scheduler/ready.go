package scheduler

import "time"

// readyQueue holds the tasks of one service that wait for a worker.
type readyQueue struct {
	onTime  *taskQueue // tasks that can still begin by their due time
	overdue *taskQueue // tasks that cannot; they get the capacity that the others leave free
	// overdueFrom is not after the time at which the next task on time becomes overdue.
	overdueFrom time.Time
}

func newReadyQueue() *readyQueue {
	return &readyQueue{onTime: newTaskQueue(onTimeBefore), overdue: newTaskQueue(overdueBefore)}
}

// onTimeBefore orders tasks by their virtual deadlines. Those of a job that has begun share one; of
// these the task that is followed by the longest chain of work, and so is due first, precedes.
func onTimeBefore(a, b *task) bool {
	if d := a.sortKey.Compare(b.sortKey); d != 0 {
		return d < 0
	}
	return a.due.Before(b.due)
}

// overdueBefore puts tasks of jobs that have begun first, since the work that is done for a job is of
// no use until the whole job ends. Otherwise it orders by due time.
func overdueBefore(a, b *task) bool {
	if begun := a.job.begun(); begun != b.job.begun() {
		return begun
	}
	return a.due.Before(b.due)
}

func (q *readyQueue) Len() int { return q.onTime.Len() + q.overdue.Len() }

func (q *readyQueue) push(now time.Time, t *task, n need) {
	t.sortKey = t.virtualDeadline()
	if t.isOverdue(now) {
		q.overdue.push(t, n)
		return
	}
	if from := t.overdueAfter(); q.onTime.Len() == 0 || from.Before(q.overdueFrom) {
		q.overdueFrom = from
	}
	q.onTime.push(t, n)
}

// moveOverdue moves tasks that have become overdue to the overdue ones.
func (q *readyQueue) moveOverdue(now time.Time) {
	if q.onTime.Len() == 0 || !now.After(q.overdueFrom) {
		return
	}
	var overdue []*task
	first := true
	for t := range q.onTime.all {
		if t.isOverdue(now) {
			overdue = append(overdue, t)
		} else if from := t.overdueAfter(); first || from.Before(q.overdueFrom) {
			q.overdueFrom, first = from, false
		}
	}
	for _, t := range overdue {
		n := t.group.need
		q.onTime.remove(t)
		q.push(now, t, n)
	}
}

// setBegun sets how many of the job's tasks are with workers, and whether one has run. If the job
// thereby begins, or no longer counts as begun, its queued tasks are queued again, since their order
// depends on it.
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
		c.queue(now, t)
	}
}

// readyTasks queues the job's tasks whose steps depend only on steps that are done.
func (c *Core) readyTasks(now time.Time, j *job) {
	if !j.accepted || c.unclaimed[j.id] == j || j.reconciling || j.state.Final() {
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

// enqueue queues the task for a worker. The task stays blocked while its job is being reconciled, and is
// suspended until it is known whether silent backend servers have crashed.
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
	c.queue(now, t)
}

// queue adds the task to the queue of its service.
func (c *Core) queue(now time.Time, t *task) {
	c.readyOf(t.job.sub.Queue.Service).push(now, t, c.needOf(t))
}

func (c *Core) readyOf(service string) *readyQueue {
	q := c.ready[service]
	if q == nil {
		q = newReadyQueue()
		c.ready[service] = q
	}
	return q
}

// unqueue removes the task from its queue, or from the suspended tasks.
func (c *Core) unqueue(t *task) {
	delete(c.suspended, t)
	if t.position >= 0 {
		t.group.queue.remove(t)
	}
}
