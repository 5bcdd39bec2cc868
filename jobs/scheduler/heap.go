package scheduler

// taskHeap is a heap of tasks in the order of before. It implements heap.Interface.
type taskHeap struct {
	tasks  []*task
	before func(a, b *task) bool
}

func (h *taskHeap) Len() int { return len(h.tasks) }

func (h *taskHeap) Less(i, k int) bool { return h.before(h.tasks[i], h.tasks[k]) }

func (h *taskHeap) Swap(i, k int) {
	h.tasks[i], h.tasks[k] = h.tasks[k], h.tasks[i]
	h.tasks[i].position, h.tasks[k].position = i, k
}

// Push appends a task; only container/heap calls it.
func (h *taskHeap) Push(x any) {
	t := x.(*task)
	t.position = len(h.tasks)
	h.tasks = append(h.tasks, t)
}

// Pop removes the last task; only container/heap calls it.
func (h *taskHeap) Pop() any {
	last := len(h.tasks) - 1
	t := h.tasks[last]
	h.tasks[last] = nil
	h.tasks = h.tasks[:last]
	t.position = -1
	return t
}

// groupHeap is a heap of groups in the order of their first tasks. It implements heap.Interface.
type groupHeap struct {
	groups []*taskGroup
	before func(a, b *task) bool
}

func (h *groupHeap) Len() int { return len(h.groups) }

func (h *groupHeap) Less(i, k int) bool { return h.before(h.groups[i].first(), h.groups[k].first()) }

func (h *groupHeap) Swap(i, k int) {
	h.groups[i], h.groups[k] = h.groups[k], h.groups[i]
	h.groups[i].position, h.groups[k].position = i, k
}

// Push appends a group; only container/heap calls it.
func (h *groupHeap) Push(x any) {
	g := x.(*taskGroup)
	g.position = len(h.groups)
	h.groups = append(h.groups, g)
}

// Pop removes the last group; only container/heap calls it.
func (h *groupHeap) Pop() any {
	last := len(h.groups) - 1
	g := h.groups[last]
	h.groups[last] = nil
	h.groups = h.groups[:last]
	g.position = -1
	return g
}
