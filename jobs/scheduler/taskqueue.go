package scheduler

import (
	"container/heap"
	"time"
)

// taskQueue holds tasks in an order, grouped by their needs: a round of dispatch that finds no worker for
// the first task of a group sets the whole group aside, however long it is.
type taskQueue struct {
	before func(a, b *task) bool
	byNeed map[need]*taskGroup
	groups []*taskGroup         // all, in no particular order
	order  itemHeap[*taskGroup] // those that are not set aside, by their first tasks
	length int                  // tasks in all groups
	next   int                  // index in groups at which taskQueue.passedOver goes on
}

func newTaskQueue(before func(a, b *task) bool) *taskQueue {
	byFirst := func(a, b *taskGroup) bool { return before(a.first(), b.first()) }
	return &taskQueue{before: before, byNeed: make(map[need]*taskGroup), order: itemHeap[*taskGroup]{before: byFirst}}
}

// Len returns the number of tasks.
func (q *taskQueue) Len() int { return q.length }

// push adds a task with the need.
func (q *taskQueue) push(t *task, n need) {
	g := q.byNeed[n]
	if g == nil {
		g = &taskGroup{need: n, queue: q, tasks: itemHeap[*task]{before: q.before}, index: len(q.groups), position: -1}
		q.byNeed[n] = g
		q.groups = append(q.groups, g)
	}
	t.group = g
	heap.Push(&g.tasks, t)
	q.length++
	q.reorder(g)
}

// remove removes a task that is in the queue.
func (q *taskQueue) remove(t *task) {
	g := t.group
	last := g.tasks.Len() == 1
	if last && g.position >= 0 {
		heap.Remove(&q.order, g.position)
	}
	heap.Remove(&g.tasks, t.position)
	q.length--
	switch {
	case !last:
		q.reorder(g)
	case !g.aside:
		q.drop(g)
	}
}

// reorder puts a group with tasks where its first one belongs.
func (q *taskQueue) reorder(g *taskGroup) {
	switch {
	case g.aside:
	case g.position < 0:
		heap.Push(&q.order, g)
	default:
		heap.Fix(&q.order, g.position)
	}
}

// drop removes a group without tasks.
func (q *taskQueue) drop(g *taskGroup) {
	delete(q.byNeed, g.need)
	last := len(q.groups) - 1
	q.groups[g.index] = q.groups[last]
	q.groups[g.index].index = g.index
	q.groups[last] = nil
	q.groups = q.groups[:last]
}

// first returns the group with the first task of those that are not set aside; nil if there is none.
func (q *taskQueue) first() *taskGroup {
	if q.order.Len() == 0 {
		return nil
	}
	return q.order.items[0]
}

// setAside takes a group out of the order until restore.
func (q *taskQueue) setAside(g *taskGroup) {
	heap.Remove(&q.order, g.position)
	g.aside = true
}

// restore puts groups back that were set aside, and drops those that have lost their tasks.
func (q *taskQueue) restore(groups []*taskGroup) {
	for _, g := range groups {
		g.aside = false
		if g.tasks.Len() == 0 {
			q.drop(g)
		} else {
			q.reorder(g)
		}
	}
}

// passedOver returns up to n groups that are not set aside, whatever their order. All groups have
// their turn in successive calls.
func (q *taskQueue) passedOver(n int) []*taskGroup {
	var out []*taskGroup
	for range len(q.groups) {
		if len(out) == n {
			break
		}
		q.next = (q.next + 1) % len(q.groups)
		if g := q.groups[q.next]; !g.aside {
			out = append(out, g)
		}
	}
	return out
}

// all yields all tasks, in no particular order.
func (q *taskQueue) all(yield func(*task) bool) {
	for _, g := range q.groups {
		for _, t := range g.tasks.items {
			if !yield(t) {
				return
			}
		}
	}
}

// taskGroup holds the tasks of a queue that have the same need. It is in its queue while it has tasks or
// is set aside.
type taskGroup struct {
	need     need
	queue    *taskQueue
	tasks    itemHeap[*task]
	index    int  // in taskQueue.groups
	position int  // in taskQueue.order; -1 if it is not there
	aside    bool // out of the order until the end of the round
	// lookedAt is when all workers of the service were last looked at for the group, and not only a
	// sample of them.
	lookedAt time.Time
	// stalledAt is when a task of the group was first found no worker for, after the last one that was
	// ordered; zero if one was ordered since.
	stalledAt time.Time
}

// first returns the task that precedes the others.
func (g *taskGroup) first() *task { return g.tasks.items[0] }
