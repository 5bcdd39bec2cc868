package queue

import (
	"slices"
	"time"
)

// fairQueue serves workspaces by round robin. Within a workspace it orders tasks by virtual
// deadline: the time of arrival plus delayPerTask for each task of the job that arrived with it. A
// single task so does not wait behind a burst of 150 tasks, jobs of similar size keep the order of
// their arrival, and a task is overtaken only by tasks that arrive within its job's added delay.
type fairQueue struct {
	// fifo makes it a plain first-in first-out queue across all workspaces.
	fifo       bool
	workspaces []*workspaceQueue // those with waiting tasks; the first is served next
	n          int
}

// delayPerTask is about the time by which a task delays those behind it, its run time divided by
// the number of slots: 100 ms over ten slots.
const delayPerTask = 10 * time.Millisecond

type workspaceQueue struct {
	name  string
	tasks []*Task // in the order of virtualDeadline
}

func (f *fairQueue) len() int { return f.n }

// push adds a task that arrived at now together with others of its job; size is
// their number, the task included.
func (f *fairQueue) push(now time.Time, t *Task, size int) {
	f.n++
	t.virtualDeadline = now
	name := ""
	if !f.fifo {
		t.virtualDeadline = now.Add(time.Duration(size) * delayPerTask)
		name = t.Workspace
	}
	q := f.workspace(name)
	at, _ := slices.BinarySearchFunc(q.tasks, t.virtualDeadline, func(other *Task, d time.Time) int {
		if other.virtualDeadline.After(d) {
			return 1
		}
		return -1 // insert after equal deadlines
	})
	q.tasks = slices.Insert(q.tasks, at, t)
}

func (f *fairQueue) workspace(name string) *workspaceQueue {
	for _, q := range f.workspaces {
		if q.name == name {
			return q
		}
	}
	q := &workspaceQueue{name: name}
	f.workspaces = append(f.workspaces, q)
	return q
}

// pop removes and returns the next task, or nil if the queue is empty.
func (f *fairQueue) pop() *Task {
	if f.n == 0 {
		return nil
	}
	f.n--
	q := f.workspaces[0]
	f.workspaces = f.workspaces[1:]
	t := q.tasks[0]
	q.tasks[0] = nil
	q.tasks = q.tasks[1:]
	if len(q.tasks) > 0 {
		f.workspaces = append(f.workspaces, q)
	}
	return t
}

// remove removes the tasks that match and returns them, by workspace and then by
// virtual deadline.
func (f *fairQueue) remove(match func(*Task) bool) []*Task {
	var out []*Task
	for _, q := range f.workspaces {
		q.tasks = slices.DeleteFunc(q.tasks, func(t *Task) bool {
			if match(t) {
				out = append(out, t)
				return true
			}
			return false
		})
	}
	f.workspaces = slices.DeleteFunc(f.workspaces, func(q *workspaceQueue) bool { return len(q.tasks) == 0 })
	f.n -= len(out)
	return out
}
