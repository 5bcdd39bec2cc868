package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/lichenfall/lichenfall/claim"
	"github.com/lichenfall/lichenfall/dispatch"
	"github.com/lichenfall/lichenfall/failure"
	"github.com/lichenfall/lichenfall/job"
	"github.com/lichenfall/lichenfall/queue"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	tasksPerJob = 20
	payloadSize = 64 // bytes
)

var origin = time.Unix(1_800_000_000, 0)

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memory returns the slope of the bytes that build holds at some sizes.
func memory(sizes []int, build func(n int) any) Slope {
	var points []Point
	for _, n := range sizes {
		before := heap()
		held := build(n)
		points = append(points, Point{float64(n), heap() - before})
		runtime.KeepAlive(held)
	}
	return Fit(points)
}

func submissionID(i int) string {
	return fmt.Sprintf("%08d-0000-0000@%d", i, origin.Add(time.Duration(i)*time.Millisecond).UnixMilli())
}

// claimMemory measures the bytes for each claim that a holder remembers.
func claimMemory() Slope {
	limits := claim.Limits{Entries: 1 << 30, Window: 1000 * time.Hour, ClockBound: time.Second}
	return memory([]int{20000, 50000, 100000}, func(n int) any {
		t := claim.New(origin.Add(-time.Hour), limits)
		owner := claim.Owner{Address: "10.0.0.1:7072", Incarnation: "f47ac10b-58cc-4372-a567-0e02b2c3d479"}
		for i := range n {
			t.Claim(origin.Add(time.Duration(n)*time.Millisecond), claim.Request{
				ID: submissionID(i), Digest: string(make([]byte, len(job.Digest{}))), Owner: owner, Seq: uint64(i),
			})
		}
		return t
	})
}

// pastTaskMemory measures the bytes for each past task that an agent remembers.
func pastTaskMemory() Slope {
	return memory([]int{20000, 50000, 100000}, func(n int) any {
		q := queue.New(queue.Limits{Slots: 8, Queue: 100, Remember: n, Window: time.Hour}, quiet{})
		for i := range n {
			runTask(q, i)
		}
		return q
	})
}

func runTask(q *queue.Queue, i int) {
	q.Place(origin, 1, &wire.Place{
		Seq: uint64(i) + 1, Job: uint64(i), Submission: submissionID(i / tasksPerJob), BudgetMicros: 1e9,
		DeadlineUnix: origin.Add(time.Hour).UnixMicro(), MaxQueue: wire.NoQueueLimit,
		Tasks: []wire.Task{{Index: uint32(i % tasksPerJob), Attempt: 1, Payload: make([]byte, payloadSize)}},
	})
	for _, t := range q.Take(origin).Start {
		q.Finished(origin, t, queue.Outcome{Ran: failure.DidRun, Body: make([]byte, payloadSize)})
	}
	q.Take(origin)
}

// agentCore measures the processor seconds of an agent's core for a task.
func agentCore() Slope {
	return timed([]int{20000, 50000, 100000}, func(n int) {
		q := queue.New(queue.Limits{Slots: 8, Queue: 100, Remember: 50000, Window: time.Hour}, quiet{})
		for i := range n {
			runTask(q, i)
		}
	})
}

// timed returns the slope of the seconds that run takes at some sizes.
func timed(sizes []int, run func(n int)) Slope {
	var points []Point
	for _, n := range sizes {
		best := time.Duration(1 << 62)
		for range 3 {
			start := time.Now()
			run(n)
			best = min(best, time.Since(start))
		}
		points = append(points, Point{float64(n), best.Seconds()})
	}
	return Fit(points)
}

// quiet is a dispatch.Counter that counts nothing.
type quiet struct{}

func (quiet) Answered(failure.Kind)                {}
func (quiet) Refused(failure.Kind)                 {}
func (quiet) Retried(failure.Kind)                 {}
func (quiet) Claimed(claim.Verdict, time.Duration) {}
func (quiet) Dropped(string)                       {}
func (quiet) Violated(string)                      {}
func (quiet) Resent(string)                        {}
func (quiet) Placed(int)                           {}
func (quiet) Suspected(string)                     {}

// newEntry returns an entry's core connected to agents.
func newEntry(agents int) *dispatch.Core {
	s := dispatch.Settings{
		Self: claim.Owner{Address: "e", Incarnation: "i"}, Teams: []string{"t"}, Pools: []string{"p"},
		MaxTasks: 1 << 30, MaxWait: time.Hour, MaxClaims: 1 << 30, ClaimWait: time.Hour, FetchWait: time.Hour,
		PingAfter: time.Hour, PingWait: time.Hour, SilentShare: 1, Attempts: 3, RetryRatio: 1, RetryBurst: 100,
		KeepAnswers: 1 << 30, KeepBytes: 1 << 40, KeepFor: time.Hour, MaxFetched: 1 << 20,
	}
	for i := range agents {
		s.Holders = append(s.Holders, fmt.Sprintf("10.0.%d.%d:7071", i/250, i%250))
	}
	c := dispatch.New(s, quiet{}, rand.New(rand.NewPCG(1, 1)))
	for _, h := range s.Holders {
		c.PeerUp(origin, h, &wire.Hello{Role: wire.RoleAgent, Pool: "p", Slots: 8, Queue: 1 << 20})
	}
	return c
}

// submitJob submits one job and has its claim granted.
func submitJob(c *dispatch.Core, i int) []dispatch.Send {
	s := &job.Submission{ID: submissionID(i), Team: "t", Pool: "p", Deadline: origin.Add(time.Hour)}
	for range tasksPerJob {
		s.Payloads = append(s.Payloads, make([]byte, payloadSize))
	}
	c.Submit(origin, uint64(i), s)
	claimed := c.Take().Sends[0]
	m := claimed.Message.(*wire.Claim)
	c.Message(origin, claimed.Peer, &wire.ClaimReply{Seq: m.Seq, Verdict: uint8(claim.Granted)})
	return c.Take().Sends
}

// finishJob has every placed task answered.
func finishJob(c *dispatch.Core, sends []dispatch.Send) {
	for _, s := range sends {
		m := s.Message.(*wire.Place)
		r := &wire.Results{}
		for _, t := range m.Tasks {
			r.Items = append(r.Items, wire.Result{Job: m.Job, Index: t.Index, Attempt: t.Attempt, Body: make([]byte, payloadSize)})
		}
		c.Message(origin, s.Peer, r)
	}
	c.Take()
}

// entryCore measures the processor seconds of an entry's core for a task, with
// that many agents.
func entryCore(agents int) Slope {
	return timed([]int{500, 1000, 2000}, func(n int) {
		c := newEntry(agents)
		for i := range n {
			finishJob(c, submitJob(c, i))
		}
	}).scaled(1.0 / tasksPerJob)
}

// scaled returns the slope for another unit: one that is the share of the old.
func (s Slope) scaled(share float64) Slope {
	s.Per *= share
	s.Low /= share
	s.High /= share
	return s
}

// runningMemory measures the bytes for each task of an unfinished job.
func runningMemory() Slope {
	return memory([]int{500, 1000, 2000}, func(n int) any {
		c := newEntry(100)
		for i := range n {
			submitJob(c, i)
		}
		return c
	}).scaled(1.0 / tasksPerJob)
}

// keptMemory measures the bytes for each kept answer of a job.
func keptMemory() Slope {
	return memory([]int{1000, 2000, 4000}, func(n int) any {
		c := newEntry(100)
		for i := range n {
			finishJob(c, submitJob(c, i))
		}
		return c
	})
}

// sizes returns the bytes of the messages of one job, in frames.
func messageBytes() (claims, place, results float64) {
	id := submissionID(1)
	size := func(m wire.Message) float64 {
		b, err := wire.Append(nil, m)
		if err != nil {
			return 0
		}
		return float64(len(b))
	}
	claims = size(&wire.Claim{Seq: 1 << 30, Submission: id, Digest: make([]byte, len(job.Digest{})), Assignment: 1 << 62}) +
		size(&wire.ClaimReply{Seq: 1 << 30, Verdict: 1, Owner: "10.0.0.1:7072", OwnerIncarnation: "f47ac10b-58cc-4372-a567-0e02b2c3d479", GrantSeq: 1 << 30})
	place = size(&wire.Place{
		Seq: 1 << 30, Job: 1 << 30, Submission: id, Team: "team", BudgetMicros: 1 << 30, DeadlineUnix: 1 << 50,
		Tasks: []wire.Task{{Index: 19, Attempt: 1}},
	})
	results = size(&wire.Results{
		Load:  wire.Load{Queued: 300, Running: 8, Mine: 300, Slots: 8},
		Items: []wire.Result{{Job: 1 << 30, Index: 19, Attempt: 1, Ran: 2, RunMicros: 1 << 20}},
	})
	return claims, place, results
}
