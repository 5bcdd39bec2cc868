package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// TestGroupsKeepTheOrderOfTasks checks against a plain search that tasks leave a queue in its order,
// whatever is added, removed and set aside, except for those whose groups are aside.
func TestGroupsKeepTheOrderOfTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTaskQueue(func(a, b *task) bool { return a.sortKey.Before(b.sortKey) })
		queued := make(map[*task]bool)
		var aside []*taskGroup
		isFirst := func(o *task) bool {
			for other := range queued {
				if !other.group.aside && other.sortKey.Before(o.sortKey) {
					return false
				}
			}
			return true
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				o := &task{position: -1, sortKey: time.Unix(rapid.Int64Range(0, 1000).Draw(t, "key"), 0)}
				q.push(o, need{resources: durable.Resources{CPU: rapid.Int64Range(1, 5).Draw(t, "need")}})
				queued[o] = true
			case 2:
				if g := q.first(); g != nil {
					if !isFirst(g.first()) {
						t.Fatal("another task precedes the first one")
					}
					delete(queued, g.first())
					q.remove(g.first())
				}
			case 3:
				if g := q.first(); g != nil {
					q.setAside(g)
					aside = append(aside, g)
				}
			case 4:
				q.restore(aside)
				aside = nil
			}
			if q.Len() != len(queued) {
				t.Fatalf("%d tasks, want %d", q.Len(), len(queued))
			}
		}
		q.restore(aside)
		for g := q.first(); g != nil; g = q.first() {
			if !isFirst(g.first()) {
				t.Fatal("another task precedes the first one")
			}
			delete(queued, g.first())
			q.remove(g.first())
		}
		if len(queued) != 0 || len(q.groups) != 0 || len(q.byNeed) != 0 {
			t.Fatalf("%d tasks and %d groups are left", len(queued), len(q.groups))
		}
	})
}

// TestAllGroupsHaveTheirTurn checks that each group is passed over by the order, and looked at in its turn.
func TestAllGroupsHaveTheirTurn(t *testing.T) {
	const groups, turn = 1000, 128
	q := newTaskQueue(onTimeBefore)
	for n := range int64(groups) {
		q.push(&task{position: -1, job: &job{}}, need{resources: durable.Resources{CPU: n}})
	}
	seen := make(map[*taskGroup]bool)
	for range (groups + turn - 1) / turn {
		for _, g := range q.passedOver(turn) {
			seen[g] = true
		}
	}
	if len(seen) != groups {
		t.Errorf("%d of %d groups had their turn", len(seen), groups)
	}
}
