package queue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/queue"
	"github.com/lichenfall/lichenfall/wire"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

type panicAsserter struct{}

func (panicAsserter) Violated(promise string) { panic(promise) }

type countingAsserter map[string]int

func (c countingAsserter) Violated(promise string) { c[promise]++ }

var _ = Describe("an agent's queue", func() {
	var q *queue.Queue
	var now time.Time
	var seq uint64
	limits := queue.Limits{Slots: 2, Queue: 2, MaxRemembered: 100, Window: time.Minute, ClockBound: 100 * time.Millisecond}
	BeforeEach(func() {
		q = queue.New(limits, panicAsserter{})
		now = time.Unix(1_800_000_000, 0)
		seq = 0
	})
	place := func(link queue.Link, submission string, budget time.Duration, indexes ...uint32) {
		seq++
		m := &wire.Place{Seq: seq, Job: 1, Submission: submission, MaxQueue: wire.NoQueueLimit, BudgetMicros: uint64(budget / time.Microsecond), DeadlineUnix: now.Add(budget).UnixMicro()}
		for _, i := range indexes {
			m.Tasks = append(m.Tasks, wire.Task{Index: i, Attempt: 1})
		}
		q.Place(now, link, m)
	}
	kinds := func(out queue.Effects) []failure.Kind {
		var ks []failure.Kind
		for _, r := range out.Reports {
			ks = append(ks, failure.Kind(r.Result.Kind))
			if failure.Kind(r.Result.Kind) == failure.Duplicate {
				Expect(failure.Ran(r.Result.Ran)).To(Equal(failure.RanUnknown))
			}
		}
		return ks
	}

	It("starts as many tasks as it has slots, queues up to its limit, and refuses the rest", func() {
		place(1, "s@1", time.Minute, 0, 1, 2, 3, 4)
		out := q.Take(now)
		Expect(out.Start).To(HaveLen(2))
		Expect(kinds(out)).To(Equal([]failure.Kind{failure.QueueFull}))
		Expect(q.Load(1)).To(Equal(wire.Load{Queued: 2, Running: 2, Mine: 4, Slots: 2}))
		q.Finished(now, out.Start[0], queue.Outcome{Ran: failure.DidRun, Body: []byte("1")})
		Expect(q.Take(now).Start).To(HaveLen(1))
	})

	It("hands back tasks that would wait behind more tasks than the sender allows", func() {
		m := &wire.Place{Seq: 1, MaxQueue: 1, BudgetMicros: 1e9, DeadlineUnix: now.Add(time.Minute).UnixMicro()}
		for i := range uint32(5) {
			m.Tasks = append(m.Tasks, wire.Task{Index: i})
		}
		q.Place(now, 1, m)
		out := q.Take(now)
		Expect(out.Start).To(HaveLen(2))
		Expect(kinds(out)).To(Equal([]failure.Kind{failure.Busy, failure.Busy}))
	})

	It("cancels tasks that have not started and no others (hazard 6)", func() {
		place(1, "s@1", time.Minute, 0, 1, 2)
		started := q.Take(now).Start
		q.Cancel(now, 1, &wire.Cancel{Job: 1, Indexes: []uint32{0, 1, 2, 9}})
		out := q.Take(now)
		Expect(kinds(out)).To(Equal([]failure.Kind{failure.Cancelled}))
		Expect(out.Reports[0].Result.Index).To(Equal(uint32(2)))
		Expect(started[0].State()).To(Equal(queue.Started))
	})

	It("applies a cancellation in the inbox before the start (hazard 4)", func() {
		place(1, "s@1", time.Minute, 0)
		q.Cancel(now, 1, &wire.Cancel{Job: 1, Indexes: []uint32{0}})
		out := q.Take(now)
		Expect(out.Start).To(BeEmpty())
		Expect(kinds(out)).To(Equal([]failure.Kind{failure.Cancelled}))
	})

	It("does not start a duplicate that arrives by another link (hazards 1 and 5)", func() {
		place(1, "s@1", time.Minute, 0)
		Expect(q.Take(now).Start).To(HaveLen(1))
		place(2, "s@1", time.Minute, 0)
		out := q.Take(now)
		Expect(out.Start).To(BeEmpty())
		Expect(kinds(out)).To(Equal([]failure.Kind{failure.Duplicate}))
	})

	It("does not report a running task as not run when it leaves", func() {
		place(1, "s@1", time.Minute, 0)
		Expect(q.Take(now).Start).To(HaveLen(1))
		q.Leave()
		place(2, "s@1", time.Minute, 0, 1)
		Expect(kinds(q.Take(now))).To(Equal([]failure.Kind{failure.Duplicate, failure.Stopping}))
	})

	It("serves teams by round robin, and small jobs of a team before large ones (hazard 20)", func() {
		add := func(job uint64, workspace string, tasks int) {
			seq++
			m := &wire.Place{Seq: seq, Job: job, Submission: fmt.Sprint(job), Workspace: workspace, MaxQueue: wire.NoQueueLimit, BudgetMicros: 1e9, DeadlineUnix: now.Add(time.Hour).UnixMicro()}
			for i := range tasks {
				m.Tasks = append(m.Tasks, wire.Task{Index: uint32(i)})
			}
			q.Place(now, 1, m)
		}
		order := func() (jobs []uint64) {
			for {
				out := q.Take(now)
				if len(out.Start) == 0 {
					return jobs
				}
				for _, t := range out.Start {
					jobs = append(jobs, t.Job)
					q.Finished(now, t, queue.Outcome{Ran: failure.DidRun})
				}
			}
		}
		l := queue.Limits{Slots: 1, Queue: 100, MaxRemembered: 100, Window: time.Hour}
		q = queue.New(l, panicAsserter{})
		add(1, "a", 4)
		add(2, "a", 1)
		add(3, "b", 2)
		add(4, "a", 1)
		Expect(order()).To(Equal([]uint64{2, 3, 4, 3, 1, 1, 1, 1}))
		add(5, "a", 4)
		now = now.Add(100 * time.Millisecond)
		add(6, "a", 1)
		Expect(order()).To(Equal([]uint64{5, 5, 5, 5, 6}), "a job is overtaken only within its added delay")
		l.FIFO = true
		q = queue.New(l, panicAsserter{})
		add(1, "a", 4)
		add(2, "a", 1)
		add(3, "b", 2)
		Expect(order()).To(Equal([]uint64{1, 1, 1, 1, 2, 3, 3}))
	})

	It("sends the results of a job together, the last one and a failure at once", func() {
		q = queue.New(queue.Limits{Slots: 9, Queue: 9, MaxRemembered: 100, Window: time.Minute, Hold: 10 * time.Millisecond}, panicAsserter{})
		place(1, "s@1", time.Minute, 0, 1, 2, 3)
		started := q.Take(now).Start
		done := func(i int, k failure.Kind) []failure.Kind {
			q.Finished(now, started[i], queue.Outcome{Kind: k, Ran: failure.DidRun})
			return kinds(q.Take(now))
		}
		Expect(done(0, failure.None)).To(BeEmpty())
		now = now.Add(9 * time.Millisecond)
		Expect(kinds(q.Take(now))).To(BeEmpty())
		now = now.Add(time.Millisecond)
		Expect(kinds(q.Take(now))).To(HaveLen(1))
		Expect(done(1, failure.None)).To(BeEmpty())
		Expect(done(2, failure.TaskFailed)).To(HaveLen(2))
		Expect(done(3, failure.None)).To(HaveLen(1))
		place(1, "t@1", time.Minute, 0)
		started = q.Take(now).Start
		Expect(done(0, failure.None)).To(HaveLen(1), "a job of one task")
	})

	It("handles no message twice on one link", func() {
		m := &wire.Place{Seq: 1, Job: 1, Submission: "s@1", MaxQueue: 1, BudgetMicros: 1e6, DeadlineUnix: now.Add(time.Second).UnixMicro(), Tasks: []wire.Task{{}}}
		Expect(q.Place(now, 1, m)).To(BeTrue())
		Expect(q.Place(now, 1, m)).To(BeFalse())
		Expect(q.Take(now).Start).To(HaveLen(1))
	})

	It("starts no task whose deadline passed in the queue (hazard 14)", func() {
		place(1, "s@1", time.Second, 0, 1, 2, 3)
		started := q.Take(now).Start
		now = now.Add(time.Second)
		q.Expire(now)
		q.Finished(now, started[0], queue.Outcome{Ran: failure.DidRun})
		out := q.Take(now)
		Expect(out.Start).To(BeEmpty())
		Expect(kinds(out)).To(Equal([]failure.Kind{failure.DeadlineInQueue, failure.DeadlineInQueue, failure.None}))
	})

	It("applies the sender's absolute deadline to a delayed message (hazard 4)", func() {
		sent := now
		now = now.Add(10 * time.Second)
		q.Place(now, 1, &wire.Place{Seq: 1, MaxQueue: 1, BudgetMicros: 1e6, DeadlineUnix: sent.Add(time.Second).UnixMicro(), Tasks: []wire.Task{{}}})
		out := q.Take(now)
		Expect(out.Start).To(BeEmpty())
		Expect(kinds(out)).To(Equal([]failure.Kind{failure.DeadlineInQueue}))
	})

	It("hands back queued tasks when it leaves, and lets started ones end (hazard 26)", func() {
		place(1, "s@1", time.Minute, 0, 1, 2)
		started := q.Take(now).Start
		q.Leave()
		q.Leave()
		Expect(kinds(q.Take(now))).To(Equal([]failure.Kind{failure.Stopping}))
		Expect(q.Idle()).To(BeFalse())
		for _, t := range started {
			q.Finished(now, t, queue.Outcome{Ran: failure.DidRun})
		}
		Expect(q.Idle()).To(BeTrue())
		Expect(kinds(q.Take(now))).To(Equal([]failure.Kind{failure.None, failure.None}))
	})

	It("drops the queued tasks of a broken link, and then accepts them by another", func() {
		place(1, "s@1", time.Minute, 0, 1, 2)
		Expect(q.Take(now).Start).To(HaveLen(2))
		q.LinkDown(1)
		place(2, "s@1", time.Minute, 2)
		Expect(kinds(q.Take(now))).To(Equal([]failure.Kind{failure.Cancelled}))
		Expect(q.Load(2).Queued).To(Equal(uint32(1)))
	})

	It("records past tasks up to its limits", func() {
		q = queue.New(queue.Limits{Slots: 10, Queue: 10, MaxRemembered: 2, Window: time.Minute}, panicAsserter{})
		for i, s := range []string{"a@1", "b@1", "c@1"} {
			place(queue.Link(i), s, time.Minute, 0)
			q.Take(now)
		}
		kept, evicted := q.Remembered()
		Expect(kept).To(Equal(2))
		Expect(evicted).To(Equal(uint64(1)))
		q.Expire(now.Add(2 * time.Minute))
		kept, _ = q.Remembered()
		Expect(kept).To(BeZero())
	})

	It("asserts that a task ends only once, and ignores the second end", func() {
		seen := make(countingAsserter)
		q = queue.New(limits, seen)
		place(1, "s@1", time.Minute, 0)
		t := q.Take(now).Start[0]
		q.Finished(now, t, queue.Outcome{Ran: failure.DidRun})
		q.Finished(now, t, queue.Outcome{Ran: failure.NotRun})
		Expect(seen).To(Equal(countingAsserter{"ended_without_start": 1}))
		Expect(kinds(q.Take(now))).To(HaveLen(1))
		Expect(q.Idle()).To(BeTrue())
	})
})
