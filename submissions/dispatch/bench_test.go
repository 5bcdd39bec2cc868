package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/dispatch"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/submissions/placement"
	"github.com/lichenfall/lichenfall/wire"
)

// BenchmarkJobOf20 runs a job of 20 tasks from its submission to its answer
// with 960 agents. Choices of 0 uses the default number of agents drawn for a
// task, 2 draws two.
func BenchmarkJobOf20(b *testing.B) {
	for _, choices := range []int{0, 2} {
		b.Run(fmt.Sprintf("choices=%d", choices), func(b *testing.B) {
			c, now := benchmarkCore(choices), time.Unix(1_800_000_000, 0)
			n := uint64(0)
			for b.Loop() {
				n++
				benchmarkJob(c, now, n)
			}
		})
	}
}

func benchmarkCore(choices int) *dispatch.Core {
	now := time.Unix(1_800_000_000, 0)
	s := dispatch.Settings{
		Self: claim.Owner{Address: "e", Incarnation: "i"}, Workspaces: []string{"t"}, Pools: []string{"p"},
		MaxTasks: 1 << 20, MaxWait: time.Hour, MaxClaims: 100, ClaimWait: time.Hour, Attempts: 3,
		KeepAnswers: 1000, KeepBytes: 1 << 30, KeepFor: time.Hour, Policy: placement.Policy{Choices: choices},
	}
	for i := range 960 {
		s.Holders = append(s.Holders, fmt.Sprintf("10.0.%d.%d:7071", i/250, i%250))
	}
	c := dispatch.New(s, &tally{counts: make(map[string]int)}, rand.New(rand.NewPCG(1, 1)))
	for _, h := range s.Holders {
		c.PeerUp(now, h, &wire.Hello{Role: wire.RoleAgent, Pool: "p", Slots: 8, Queue: 256})
	}
	return c
}

func benchmarkJob(c *dispatch.Core, now time.Time, n uint64) {
	s := &job.Submission{ID: fmt.Sprintf("s%d@%d", n, now.UnixMilli()), Workspace: "t", Pool: "p", Deadline: now.Add(time.Hour), Payloads: make([][]byte, 20)}
	c.Submit(now, n, s)
	claimed := c.Take().Sends[0]
	m := claimed.Message.(*wire.Claim)
	c.HandleMessage(now, claimed.Peer, &wire.ClaimReply{Seq: m.Seq, Verdict: uint8(claim.Granted)})
	for _, send := range c.Take().Sends {
		p := send.Message.(*wire.Place)
		r := &wire.Results{}
		for _, t := range p.Tasks {
			r.Items = append(r.Items, wire.Result{Job: p.Job, Index: t.Index, Attempt: t.Attempt, Ran: 2})
		}
		c.HandleMessage(now, send.Peer, r)
	}
	c.Take()
}
