package scheduler

// taskHeap is a heap of tasks in the order of before. It implements heap.Interface.
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

// Push appends a task; only container/heap calls it.
func (q *taskHeap) Push(x any) {
	t := x.(*task)
	t.position = len(q.tasks)
	q.tasks = append(q.tasks, t)
}

// Pop removes the last task; only container/heap calls it.
func (q *taskHeap) Pop() any {
	last := len(q.tasks) - 1
	t := q.tasks[last]
	q.tasks[last] = nil
	q.tasks = q.tasks[:last]
	t.position = -1
	return t
}
