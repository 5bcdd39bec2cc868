package queue_test

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/queue"
	"github.com/lichenfall/lichenfall/wire"
)

// BenchmarkTask handles one task from its wire.Place to its result.
func BenchmarkTask(b *testing.B) {
	q := queue.New(queue.Limits{Slots: 8, Queue: 256, MaxRemembered: 50000, Window: time.Hour}, panicAsserter{})
	now := time.Unix(1_800_000_000, 0)
	m := &wire.Place{Submission: "s@1", MaxQueue: wire.NoQueueLimit, BudgetMicros: 1e9, DeadlineUnix: now.Add(time.Hour).UnixMicro(), Tasks: make([]wire.Task, 1)}
	for b.Loop() {
		m.Seq++
		m.Job++
		m.Tasks[0].Index++
		q.Place(now, 1, m)
		for _, t := range q.Take(now).Start {
			q.Finished(now, t, queue.Outcome{Ran: failure.DidRun})
		}
		q.Take(now)
	}
}
