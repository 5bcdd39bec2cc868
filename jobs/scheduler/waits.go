package scheduler

import (
	"math/bits"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// wait is what waits for room of one priority, of the tasks that ask for about the same.
type wait struct {
	waitKey
	first    *task
	from, to time.Time         // turns of the first and the last task
	need     durable.Resources // the most that one of them takes
	tasks    int
	work     float64 // thousandths of a core times nanoseconds
	asked    int     // how many workers are asked
}

// waitKey is what the tasks of a wait have in common. Those of jobs that have begun stand
// apart, since their turns are far from the others'; so do those of other sizes, since room
// for small ones may be where there is none for large ones.
type waitKey struct {
	priority int32
	requires string // label
	begun    bool
	gpu      int64
	size     int
}

// sizeOf returns the size of a need of processor time, in steps of half a power of two.
func sizeOf(milliCPU int64) int {
	n := bits.Len64(uint64(max(1, milliCPU)))
	return 2*n + int(milliCPU>>max(0, n-2)&1)
}

// waitsOf returns what of the queue could be ordered with more room, first come first:
// overdue tasks while no others are left, as in dispatch.
func (c *Core) waitsOf(q *readyQueue) []wait {
	if waits := c.waitsOfHeap(&q.onTime, (*task).turnOnTime); len(waits) > 0 {
		return waits
	}
	return c.waitsOfHeap(&q.overdue, (*task).turnOverdue)
}

func (c *Core) waitsOfHeap(q *taskHeap, turnOf func(*task) time.Time) []wait {
	at := make(map[waitKey]int)
	var out []wait
	for _, t := range q.tasks {
		if _, ok := c.epochOf(t.job); !ok {
			continue
		}
		key := waitKey{t.job.sub.Queue.Priority, t.step.Requires, t.job.begun(), t.step.Need.GPU, sizeOf(t.step.Need.CPU)}
		i, known := at[key]
		if !known {
			i = len(out)
			at[key] = i
			out = append(out, wait{waitKey: key})
		}
		out[i].add(t, turnOf(t))
	}
	slices.SortFunc(out, func(a, b wait) int { return a.from.Compare(b.from) })
	return out[:min(wire.MostWaits, len(out))]
}

func (k *wait) add(t *task, turn time.Time) {
	if k.first == nil || turn.Before(k.from) {
		k.first, k.from = t, turn
	}
	if k.tasks == 0 || turn.After(k.to) {
		k.to = turn
	}
	k.need = k.need.Max(t.step.Need)
	k.tasks++
	k.work += t.work()
}

// wanted returns how many workers are to be asked.
func (k *wait) wanted() int { return max(leastAsked, askedATask*k.tasks) }

// spread returns at which of the workers it begins to be asked for, the same each time: waits
// that ask for different things begin at different ones.
func (k *wait) spread() int {
	at := 3*k.size + 5*int(max(0, k.priority))
	if k.begun {
		at += leastAsked - 1
	}
	return at
}

// farOff sets the turns of jobs that have begun before all others, and those of overdue
// tasks after them: it is more than any task waits.
const farOff = 20 * time.Minute

// turnOnTime returns the turn of a task that is on time, as workers are told of it.
func (t *task) turnOnTime() time.Time {
	if t.job.begun() {
		return t.job.received.Add(-farOff)
	}
	return t.virtualDeadline()
}

// turnOverdue returns the same of an overdue one: the order is that of overdueBefore.
func (t *task) turnOverdue() time.Time {
	if t.job.begun() {
		return t.due.Add(farOff)
	}
	return t.due.Add(2 * farOff)
}

// mayHave returns whether the first task of the wait may go to the worker when there is
// room.
func (w *worker) mayHave(k wait) bool {
	return (w.confirmed || k.first.job.sub.BestEffort) && k.need.Fits(w.identity.Capacity) && allowed(k.first, w)
}

// message returns the wait as a worker is told of it.
func (k *wait) message(now time.Time) wire.RoomWait {
	return wire.RoomWait{
		WaitingWork: wire.WaitingWork{
			Priority: k.priority,
			FirstMS:  k.from.Sub(now).Milliseconds(),
			LastMS:   k.to.Sub(now).Milliseconds(),
			Work:     int64(k.work / float64(time.Millisecond) / float64(max(1, k.asked))),
		},
		Need:  k.need,
		Tasks: uint32(k.tasks),
	}
}
