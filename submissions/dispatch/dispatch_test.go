package dispatch_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/retry"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/dispatch"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/wire"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// fixture is a core that is connected to agents a, b and c, of which a holds
// all claims.
type fixture struct {
	core     *dispatch.Core
	events   *tally
	now      time.Time
	n        int
	answered map[uint64]*job.Answer // answers that callers got at the moment their claim was granted
}

func newFixture(change func(*dispatch.Settings)) *fixture {
	f := &fixture{events: &tally{counts: make(map[string]int)}, now: time.Unix(1_800_000_000, 0), answered: make(map[uint64]*job.Answer)}
	s := dispatch.Settings{
		Self: claim.Owner{Address: "e", Incarnation: "i"}, Holders: []string{"a"}, Workspaces: []string{"t"}, Pools: []string{"p"},
		MaxTasks: 1000, MaxWait: time.Second, MaxClaims: 10, ClaimWait: 100 * time.Millisecond, FetchWait: 100 * time.Millisecond, Grace: 10 * time.Millisecond,
		PingAfter: 200 * time.Millisecond, PingWait: 200 * time.Millisecond, SilentShare: 0.4,
		Attempts: 3, RetryRatio: 0, RetryBurst: 2, Backoff: retry.Backoff{Base: time.Millisecond, Max: time.Millisecond},
		KeepAnswers: 10, KeepBytes: 1000, KeepFor: time.Minute, MaxFetched: 1000,
	}
	if change != nil {
		change(&s)
	}
	f.core = dispatch.New(s, f.events, rand.New(rand.NewPCG(1, 1)))
	for _, a := range []string{"a", "b", "c"} {
		f.core.PeerUp(f.now, a, &wire.Hello{Role: wire.RoleAgent, Pool: "p", Slots: 8, Queue: 256})
	}
	return f
}

func (f *fixture) submission(tasks int) *job.Submission {
	f.n++
	id := fmt.Sprintf("s%d@%d", f.n, f.now.UnixMilli())
	s := &job.Submission{ID: id, Workspace: "t", Pool: "p", Deadline: f.now.Add(time.Minute), Digest: sha256.Sum256([]byte(id))}
	for range tasks {
		s.Payloads = append(s.Payloads, []byte("1"))
	}
	return s
}

// granted submits s and grants its claim. It returns the placed tasks by agent.
func (f *fixture) granted(caller uint64, s *job.Submission) map[string]*wire.Place {
	GinkgoHelper()
	f.core.Submit(f.now, caller, s)
	out := f.core.Take()
	Expect(out.Sends).To(HaveLen(1))
	m := out.Sends[0].Message.(*wire.Claim)
	f.core.HandleMessage(f.now, "a", &wire.ClaimReply{Seq: m.Seq, Verdict: uint8(claim.Granted), Owner: "e", OwnerIncarnation: "i", GrantSeq: m.Seq})
	out = f.core.Take()
	for _, d := range out.Deliveries {
		f.answered[d.Caller] = d.Answer
	}
	return places(out)
}

func places(out dispatch.Effects) map[string]*wire.Place {
	at := make(map[string]*wire.Place)
	for _, s := range out.Sends {
		if m, ok := s.Message.(*wire.Place); ok {
			at[s.Peer] = m
		}
	}
	return at
}

func refusal(m *wire.Place, k failure.Kind) *wire.Results {
	r := &wire.Results{}
	for _, t := range m.Tasks {
		r.Items = append(r.Items, wire.Result{Job: m.Job, Index: t.Index, Attempt: t.Attempt, Kind: uint8(k), Ran: uint8(k.Row().Ran)})
	}
	return r
}

func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(10 * time.Millisecond)
		f.core.Tick(f.now)
	}
}

func sent[M wire.Message](out dispatch.Effects) (peers []string) {
	for _, s := range out.Sends {
		if _, ok := s.Message.(M); ok {
			peers = append(peers, s.Peer)
		}
	}
	return peers
}

var _ = Describe("retries of tasks that did not run", func() {
	It("go to other agents, until the attempts are used up", func() {
		f := newFixture(nil)
		at := f.granted(1, f.submission(1))
		var tried []string
		for range 3 {
			Expect(at).To(HaveLen(1))
			for agent, m := range at {
				tried = append(tried, agent)
				f.core.HandleMessage(f.now, agent, refusal(m, failure.QueueFull))
			}
			f.advance(20 * time.Millisecond)
			out := f.core.Take()
			at = places(out)
			if len(tried) == 3 {
				Expect(out.Deliveries).To(HaveLen(1))
				Expect(out.Deliveries[0].Answer.Error.Kind).To(Equal("queue_full"))
				Expect(out.Deliveries[0].Answer.Error.Ran).To(Equal("not run"))
				Expect(out.Deliveries[0].Answer.Error.RetryAfterMS).To(BeNumerically(">", 0))
			}
		}
		Expect(tried).To(ConsistOf("a", "b", "c"))
	})

	It("are bounded by the retry budget (hazard 17)", func() {
		f := newFixture(nil) // a burst of two retries, and none earned
		for agent, m := range f.granted(1, f.submission(2)) {
			f.core.HandleMessage(f.now, agent, refusal(m, failure.QueueFull))
		}
		Expect(f.events.counts["retry: queue_full"]).To(Equal(2))
		Expect(f.core.Take().Deliveries).To(BeEmpty())
		for agent, m := range f.granted(2, f.submission(1)) {
			f.core.HandleMessage(f.now, agent, refusal(m, failure.QueueFull))
		}
		out := f.core.Take()
		Expect(out.Deliveries).To(HaveLen(1))
		Expect(out.Deliveries[0].Answer.Error.Kind).To(Equal("overloaded"))
		Expect(out.Deliveries[0].Answer.Error.Ran).To(Equal("not run"))
		Expect(f.events.counts["retry: queue_full"]).To(Equal(2))
	})

	It("cost no budget when the agent was busier than expected, and are placed without a queue limit in the end", func() {
		f := newFixture(func(s *dispatch.Settings) { s.Bounces = 2; s.RetryBurst = 0 })
		at := f.granted(1, f.submission(1))
		var limits []uint32
		for range 3 {
			Expect(at).To(HaveLen(1))
			for agent, m := range at {
				limits = append(limits, m.MaxQueue)
				f.core.HandleMessage(f.now, agent, refusal(m, failure.Busy))
			}
			at = places(f.core.Take())
		}
		Expect(limits).To(Equal([]uint32{0, 0, wire.NoQueueLimit}))
	})

	It("are not made for tasks that may have run", func() {
		f := newFixture(nil)
		for agent, m := range f.granted(1, f.submission(1)) {
			f.core.HandleMessage(f.now, agent, refusal(m, failure.BackendLost))
		}
		out := f.core.Take()
		Expect(places(out)).To(BeEmpty())
		Expect(out.Deliveries[0].Answer.Error.Kind).To(Equal("backend_lost"))
		Expect(out.Deliveries[0].Answer.Error.Ran).To(Equal("unknown"))
	})
})

var _ = Describe("a job that the pool is too busy for", func() {
	// busy returns a fixture whose agents take 500 ms for a task and hold n tasks
	// each, as far as the core knows.
	busy := func(n uint32) *fixture {
		f := newFixture(nil)
		for caller := range uint64(10) {
			for agent, m := range f.granted(caller, f.submission(3)) {
				r := &wire.Results{Load: wire.Load{Running: n, Slots: 8}}
				for _, t := range m.Tasks {
					r.Items = append(r.Items, wire.Result{Job: m.Job, Index: t.Index, Attempt: 1, Ran: uint8(failure.DidRun), RunMicros: 500000, Body: []byte("1")})
				}
				f.core.HandleMessage(f.now, agent, r)
			}
		}
		f.core.Take()
		return f
	}
	refused := func(f *fixture, s *job.Submission) *job.ErrorBody {
		Expect(f.granted(99, s)).To(BeEmpty())
		f.core.Tick(f.now)
		return f.answered[99].Error
	}

	It("is refused as a whole and at once, with a delay before a resend", func() {
		f := busy(30) // 22 wait at each agent, for 1.4 s
		e := refused(f, f.submission(3))
		Expect(e.Kind).To(Equal("overloaded"))
		Expect(e.Ran).To(Equal("not run"))
		Expect(e.RetryAfterMS).To(BeNumerically(">", 100))
	})

	It("is refused when it would miss its own deadline, while other jobs are accepted", func() {
		f := busy(14) // 6 wait at each agent, for 0.4 s
		s := f.submission(3)
		s.Deadline = f.now.Add(800 * time.Millisecond)
		Expect(refused(f, s).Kind).To(Equal("overloaded"))
		Expect(f.granted(100, f.submission(3))).NotTo(BeEmpty())
	})
})

var _ = Describe("a silent agent (hazard 27)", func() {
	It("is pinged, gets no more tasks, and gets tasks again once a message arrives from it", func() {
		f := newFixture(nil)
		f.granted(1, f.submission(3))
		f.core.HandleMessage(f.now, "a", &wire.Results{})
		f.core.HandleMessage(f.now, "b", &wire.Results{})
		f.advance(210 * time.Millisecond)
		Expect(sent[*wire.Ping](f.core.Take())).To(ConsistOf("a", "b", "c"))
		f.core.HandleMessage(f.now, "a", &wire.Results{})
		f.core.HandleMessage(f.now, "b", &wire.Results{})
		f.advance(150 * time.Millisecond)
		f.core.HandleMessage(f.now, "a", &wire.Results{})
		f.core.HandleMessage(f.now, "b", &wire.Results{})
		f.advance(100 * time.Millisecond)
		f.core.Take()
		Expect(f.events.counts["suspected: agent"]).To(Equal(1))
		Expect(f.granted(2, f.submission(4))).NotTo(HaveKey("c"))
		f.core.HandleMessage(f.now, "c", &wire.Results{})
		Expect(f.granted(3, f.submission(4))).To(HaveKey("c"))
	})

	It("keeps getting tasks when too many agents are silent: the entry suspects itself (hazard 28)", func() {
		f := newFixture(nil)
		f.granted(1, f.submission(3))
		f.advance(500 * time.Millisecond)
		Expect(f.events.counts["suspected: agent"]).To(Equal(1))
		Expect(f.events.counts["suspected: self"]).To(Equal(2))
	})

	It("is not suspected when the entry itself was stalled", func() {
		f := newFixture(nil)
		f.granted(1, f.submission(3))
		f.advance(210 * time.Millisecond)
		f.now = f.now.Add(10 * time.Second)
		f.core.Tick(f.now)
		f.advance(100 * time.Millisecond)
		Expect(f.events.counts["suspected: agent"]).To(BeZero())
	})

	It("that holds a claim makes it fail after the timeout, and a resent call uses a late grant", func() {
		f := newFixture(nil)
		s := f.submission(1)
		f.core.Submit(f.now, 1, s)
		m := f.core.Take().Sends[0].Message.(*wire.Claim)
		f.advance(110 * time.Millisecond)
		out := f.core.Take()
		Expect(out.Deliveries[0].Answer.Error.Kind).To(Equal("claim_unavailable"))
		Expect(out.Deliveries[0].Answer.Error.Ran).To(Equal("unknown"))
		f.core.Submit(f.now, 2, f.submission(1))
		out = f.core.Take()
		Expect(out.Deliveries[0].Answer.Error.Kind).To(Equal("claim_unavailable"))
		Expect(sent[*wire.Claim](out)).To(Equal([]string{"a"}), "a probe")

		f.core.HandleMessage(f.now, "a", &wire.ClaimReply{Seq: m.Seq, Verdict: uint8(claim.Granted), Owner: "e", OwnerIncarnation: "i", GrantSeq: m.Seq})
		Expect(places(f.core.Take())).To(BeEmpty(), "a late grant starts nothing")
		again := *s
		again.Payloads = [][]byte{[]byte("1")}
		f.core.Submit(f.now, 3, &again)
		m2 := f.core.Take().Sends[0].Message.(*wire.Claim)
		f.core.HandleMessage(f.now, "a", &wire.ClaimReply{Seq: m2.Seq, Verdict: uint8(claim.Held), Owner: "e", OwnerIncarnation: "i", GrantSeq: m.Seq})
		Expect(places(f.core.Take())).To(HaveLen(1))
	})
})

var _ = Describe("answers kept for resent calls (hazard 10)", func() {
	It("are limited in number, and a submission whose answer was discarded is not started again", func() {
		f := newFixture(func(s *dispatch.Settings) { s.KeepAnswers = 1 })
		first := f.submission(1)
		for n, s := range []*job.Submission{first, f.submission(1)} {
			for agent, m := range f.granted(uint64(n), s) {
				f.core.HandleMessage(f.now, agent, &wire.Results{Items: []wire.Result{{Job: m.Job, Attempt: 1, Body: []byte("7")}}})
			}
		}
		f.core.Take()
		again := *first
		f.core.Submit(f.now, 9, &again)
		m := f.core.Take().Sends[0].Message.(*wire.Claim)
		f.core.HandleMessage(f.now, "a", &wire.ClaimReply{Seq: m.Seq, Verdict: uint8(claim.Held), Owner: "e", OwnerIncarnation: "i", GrantSeq: 1})
		out := f.core.Take()
		Expect(places(out)).To(BeEmpty())
		Expect(out.Deliveries[0].Answer.Error.Kind).To(Equal("outcome_unknown"))
	})
})
