package scheduler

import "time"

// classStep is how much later than it came a job is taken for in the order of the queue, for
// each class before its own. 300 ms is as long as a job of 900 ms may be thought to wait.
const classStep = 300 * time.Millisecond

// lastClass is the class of all queues of this priority and of later ones, so that no job is
// held up by more than lastClass times classStep of arrivals.
const lastClass = 3

// Classes is how many classes there are.
const Classes = lastClass + 1

// class returns the class of a queue with the priority; 0 is the most urgent.
func (l *LoadPolicy) class(priority int32) int {
	last := int32(1)
	if l.OrderByPriority {
		last = lastClass
	}
	return int(min(max(priority, 0), last))
}

// virtualDeadline is the order of the tasks that are on time, at all coordinators and workers: what is
// left of jobs that have begun first, in the order in which they came, then by the time halfway
// to the due time, so that tight jobs go before loose ones of the same moment. In both parts each
// class is put off against those before it.
func (t *task) virtualDeadline() time.Time {
	if t.job.begun() {
		return t.job.received.Add(t.job.delay() - begunFirst)
	}
	return t.job.received.Add(t.due.Sub(t.job.received)/2 + t.job.delay())
}

// delay is by how much the job's class puts its turns off.
func (j *job) delay() time.Duration { return time.Duration(j.class) * classStep }

// begunFirst is taken off the turn of what is left of jobs that have begun; it
// is more than any task waits, so that they come before all others.
const begunFirst = time.Hour

// isOverdue returns whether the task should only have what room others leave. A
// job that has begun is finished as long as its answer is of use.
func (t *task) isOverdue(now time.Time) bool {
	if t.job.begun() {
		return now.After(t.job.uselessAt)
	}
	return now.After(t.due)
}
