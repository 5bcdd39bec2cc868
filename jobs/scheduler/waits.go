package scheduler

import (
	"math/bits"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// waitingGroup is a group of tasks of one priority and of about the same need that wait for
// capacity.
type waitingGroup struct {
	groupKey
	first    *task
	from, to time.Time         // earliest and latest virtual deadline, as capacity requests name them
	need     durable.Resources // maximum over the tasks
	tasks    int
	work     float64 // thousandths of a core times nanoseconds
	asked    int     // number of workers that are asked for it
}

// groupKey is what the tasks of a group have in common. Jobs that have begun have groups of their
// own, since their virtual deadlines are far from all others. So do tasks of different sizes, since
// there may be capacity for small tasks where there is none for large ones.
type groupKey struct {
	priority int32
	requires string // label
	begun    bool
	gpu      int64
	size     int // sizeClass of the need of processor time
}

// sizeClass returns the size class of a need of processor time. There are two for each power of two.
func sizeClass(milliCPU int64) int {
	n := bits.Len64(uint64(max(1, milliCPU)))
	return 2*n + int(milliCPU>>max(0, n-2)&1)
}

// groupsOf returns the groups of queued tasks that could be ordered with more capacity of known workers,
// the one with the earliest virtual deadline first. Overdue tasks count only while no others are left.
func (c *Core) groupsOf(q *readyQueue) []waitingGroup {
	if groups := c.groupsIn(q.onTime, (*task).onTimeDeadline); len(groups) > 0 {
		return groups
	}
	return c.groupsIn(q.overdue, (*task).overdueDeadline)
}

func (c *Core) groupsIn(q *taskQueue, deadlineOf func(*task) time.Time) []waitingGroup {
	at := make(map[groupKey]int)
	var out []waitingGroup
	for t := range q.all {
		if _, ok := c.epochOf(t.job); !ok {
			continue
		}
		key := groupKey{t.job.sub.Queue.Priority, t.step.Requires, t.job.begun(), t.step.Need.GPU, sizeClass(t.step.Need.CPU)}
		i, known := at[key]
		if !known {
			i = len(out)
			at[key] = i
			out = append(out, waitingGroup{groupKey: key})
		}
		out[i].add(t, deadlineOf(t))
	}
	out = slices.DeleteFunc(out, func(g waitingGroup) bool { return !c.canBeServed(&g) })
	slices.SortFunc(out, func(a, b waitingGroup) int { return a.from.Compare(b.from) })
	return out
}

// canBeServed returns whether any worker that tasks may go to can run the group.
func (c *Core) canBeServed(g *waitingGroup) bool {
	service := g.first.job.sub.Queue.Service
	return slices.ContainsFunc(c.eligible, func(w *worker) bool { return w.identity.Service == service && w.canServe(*g) })
}

func (g *waitingGroup) add(t *task, deadline time.Time) {
	if g.first == nil || deadline.Before(g.from) {
		g.first, g.from = t, deadline
	}
	if g.tasks == 0 || deadline.After(g.to) {
		g.to = deadline
	}
	g.need = g.need.Max(t.step.Need)
	g.tasks++
	g.work += t.work()
}

// workersWanted returns how many workers should be asked for the group.
func (g *waitingGroup) workersWanted() int { return max(minWorkersAsked, workersPerTask*g.tasks) }

// firstWorker returns the index of the first worker that is asked for the group. It is the same each
// time, and differs between groups so that these are spread over the workers.
func (g *waitingGroup) firstWorker() int {
	at := 3*g.size + 5*int(max(0, g.priority))
	if g.begun {
		at += minWorkersAsked - 1
	}
	return at
}

// categoryGap separates the virtual deadlines in capacity requests of jobs that have begun, of tasks
// on time and of overdue tasks. It is longer than any task waits.
const categoryGap = 20 * time.Minute

// onTimeDeadline returns the virtual deadline of a task on time, as capacity requests name it.
func (t *task) onTimeDeadline() time.Time {
	if t.job.begun() {
		return t.job.received.Add(-categoryGap)
	}
	return t.virtualDeadline()
}

// overdueDeadline returns the virtual deadline of an overdue task, as capacity requests name it. The
// order is that of overdueBefore.
func (t *task) overdueDeadline() time.Time {
	if t.job.begun() {
		return t.due.Add(categoryGap)
	}
	return t.due.Add(2 * categoryGap)
}

// canServe returns whether the worker, once it has free capacity, may run the first task of the
// group.
func (w *worker) canServe(g waitingGroup) bool {
	return (w.confirmed || g.first.job.sub.BestEffort) && g.need.Fits(w.identity.Capacity) && allowedOn(g.first, w)
}

// message returns the group as a capacity request names it. The work is one worker's share.
func (g *waitingGroup) message(now time.Time) wire.WaitingGroup {
	return wire.WaitingGroup{
		WaitingWork: wire.WaitingWork{
			Priority: g.priority,
			FirstMS:  g.from.Sub(now).Milliseconds(),
			LastMS:   g.to.Sub(now).Milliseconds(),
			Work:     int64(g.work / float64(time.Millisecond) / float64(max(1, g.asked))),
		},
		Need:  g.need,
		Tasks: uint32(g.tasks),
	}
}
