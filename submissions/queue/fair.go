package queue

import (
	"slices"
	"time"
)

// fair is a queue that serves workspaces in turn. Within a workspace a task stands by the
// time of its coming plus a handicap for each task of its job that came with
// it, so that a single task does not wait behind a burst of 150 while jobs of
// like size keep the order of their coming, and no job is overtaken for longer
// than its own handicap.
type fair struct {
	// inOrder makes it a plain first-in first-out queue.
	inOrder    bool
	workspaces []*workspaceQueue // the one to be served next is first
	n          int
}

// handicap is about what a task costs those behind it: its time divided by the slots that
// work. A task of 100 ms over ten slots.
const handicap = 10 * time.Millisecond

type workspaceQueue struct {
	name  string
	tasks []*Task // by their turn
}

func (f *fair) len() int { return f.n }

// push adds a task that came now with others of its job, size in all.
func (f *fair) push(now time.Time, t *Task, size int) {
	f.n++
	t.turn = now
	name := ""
	if !f.inOrder {
		t.turn = now.Add(time.Duration(size) * handicap)
		name = t.Workspace
	}
	q := f.workspace(name)
	at, _ := slices.BinarySearchFunc(q.tasks, t.turn, func(other *Task, turn time.Time) int {
		if other.turn.After(turn) {
			return 1
		}
		return -1 // behind those of the same turn
	})
	q.tasks = slices.Insert(q.tasks, at, t)
}

func (f *fair) workspace(name string) *workspaceQueue {
	for _, q := range f.workspaces {
		if q.name == name {
			return q
		}
	}
	q := &workspaceQueue{name: name}
	f.workspaces = append(f.workspaces, q)
	return q
}

// pop removes the task to be served next; nil when there is none.
func (f *fair) pop() *Task {
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

// remove takes out the tasks that match and returns them, by workspace and turn.
func (f *fair) remove(match func(*Task) bool) []*Task {
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
