package scheduler

import "time"

// Tasks that are on time are ordered by their virtual deadline, the earliest first. It is only a
// sort key: nothing ends when it passes.

// delayPerClass is added to the virtual deadlines of a job for each class that is more urgent than
// its own. It is as long as a job of 900 ms may be expected to wait and still be admitted
// (maxWaitShare).
const delayPerClass = 300 * time.Millisecond

// lastClass is the class of all queues with this priority or a later one. It bounds the delay of a
// job to lastClass times delayPerClass, and so the time for which arrivals of more urgent classes
// may precede it.
const lastClass = 3

// Classes is the number of classes.
const Classes = lastClass + 1

// class returns the class of a queue with the priority; 0 is the most urgent.
func (l *LoadPolicy) class(priority int32) int {
	last := int32(1)
	if l.OrderByPriority {
		last = lastClass
	}
	return int(min(max(priority, 0), last))
}

// virtualDeadline returns the time by which tasks that are on time are ordered, at all coordinators
// and workers; the earliest goes first. Tasks of jobs that have begun precede all others, in the
// order in which their jobs were received. For the rest it is halfway between the job's receipt and
// the task's due time, so that of two jobs received together the one with less slack goes first.
// In both groups the delay of the job's class is added.
func (t *task) virtualDeadline() time.Time {
	if t.job.begun() {
		return t.job.received.Add(t.job.delay() - begunLead)
	}
	return t.job.received.Add(t.due.Sub(t.job.received)/2 + t.job.delay())
}

// delay returns how much the job's class adds to the virtual deadlines of its tasks.
func (j *job) delay() time.Duration { return time.Duration(j.class) * delayPerClass }

// begunLead is subtracted from the virtual deadlines of jobs that have begun. It is longer than
// any task waits, so that these jobs precede all others.
const begunLead = time.Hour

// isOverdue returns whether the task gets only the capacity that tasks on time leave free. The
// tasks of a job that has begun are overdue only once the job's answer is of no use.
func (t *task) isOverdue(now time.Time) bool { return now.After(t.overdueAfter()) }

// overdueAfter returns the time after which the task is overdue.
func (t *task) overdueAfter() time.Time {
	if t.job.begun() {
		return t.job.uselessAt
	}
	return t.due
}
