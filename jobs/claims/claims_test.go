package claims_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lichenfall/lichenfall/jobs/claims"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

const (
	job   durable.JobID = "00000000000000aa"
	lease               = 2620 * time.Millisecond
)

var start = time.Unix(1000, 0)

// after returns the time ms milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// network connects claimants with witnesses. Messages arrive at once, unless their link is silent.
type network struct {
	claimants map[string]*claims.Claimant
	witnesses map[string]*claims.Witness
	conns     map[string]int  // connections made, by link
	silent    map[string]bool // links on which messages are lost and neither end knows
	outcomes  map[string][]claims.Outcome
}

func newNetwork(witnesses int, coordinators ...string) *network {
	n := &network{
		claimants: make(map[string]*claims.Claimant), witnesses: make(map[string]*claims.Witness), conns: make(map[string]int),
		silent: make(map[string]bool), outcomes: make(map[string][]claims.Outcome),
	}
	var pool []claims.Worker
	for i := range witnesses {
		name := fmt.Sprintf("w%d", i)
		n.witnesses[name] = claims.NewWitness(start.Add(-lease), lease)
		pool = append(pool, claims.Worker{Address: name, DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	for _, k := range coordinators {
		n.claimants[k] = claims.NewClaimant()
		n.claimants[k].SetPool(start, claims.Pool(pool))
		for w := range n.witnesses {
			n.connect(start, k, w)
		}
	}
	return n
}

func linkName(coordinator, witness string) string { return coordinator + "-" + witness }

func (n *network) connect(now time.Time, k, w string) {
	n.conns[linkName(k, w)]++
	n.witnesses[w].Up(n.conn(k, w), k+"/1", k)
	n.claimants[k].Up(now, w)
}

func (n *network) disconnect(now time.Time, k, w string) {
	n.witnesses[w].Down(n.conn(k, w))
	n.claimants[k].Down(now, w)
}

func (n *network) conn(k, w string) string {
	return fmt.Sprintf("%s#%d", linkName(k, w), n.conns[linkName(k, w)])
}

// exchange carries the coordinator's messages, and the answers to them, until there are none.
func (n *network) exchange(now time.Time, k string) {
	for {
		e := n.claimants[k].Take(now)
		n.outcomes[k] = append(n.outcomes[k], e.Outcomes...)
		if len(e.Sends) == 0 {
			return
		}
		for _, s := range e.Sends {
			if n.silent[linkName(k, s.Address)] {
				continue
			}
			if reply := n.witnesses[s.Address].Handle(now, n.conn(k, s.Address), s.Message); reply != nil {
				n.claimants[k].Answered(now, s.Address, reply)
			}
		}
	}
}

// pass has the time go on to the given one, in ticks.
func (n *network) pass(from, to int, coordinators ...string) {
	for ms := from; ms <= to; ms += 20 {
		for _, k := range coordinators {
			n.claimants[k].Tick(after(ms))
			n.exchange(after(ms), k)
		}
		for _, w := range n.witnesses {
			w.Tick(after(ms))
		}
	}
}

// claim has the coordinator claim the job and returns the outcome, which must come by the time given.
func (n *network) claim(from, by int, k string) claims.Outcome {
	n.outcomes[k] = nil
	n.claimants[k].Claim(after(from), job)
	n.exchange(after(from), k)
	if len(n.outcomes[k]) == 0 {
		n.pass(from, by, k)
	}
	Expect(n.outcomes[k]).To(HaveLen(1))
	return n.outcomes[k][0]
}

// witnessesOf returns the witnesses of the job.
func (n *network) witnessesOf() []string {
	var out []string
	for name, w := range n.witnesses {
		if w.Len() > 0 {
			out = append(out, name)
		}
	}
	return out
}

var _ = Describe("a claim", func() {
	It("is granted to one coordinator, and others learn which", func() {
		n := newNetwork(11, "a", "b")
		o := n.claim(0, 0, "a")
		Expect(o.Holder).To(BeEmpty())
		Expect(o.Confirmed).To(BeTrue())
		Expect(n.witnessesOf()).To(HaveLen(3))
		Expect(n.claim(30, 200, "b").Holder).To(Equal("a"))
	})

	It("is granted to another coordinator after it was withdrawn", func() {
		n := newNetwork(11, "a", "b")
		n.claim(0, 0, "a")
		n.claimants["a"].Withdraw(job)
		n.exchange(after(100), "a")
		Expect(n.witnessesOf()).To(BeEmpty())
		Expect(n.claim(200, 200, "b").Confirmed).To(BeTrue())
	})

	It("lasts as long as its coordinator is heard", func() {
		n := newNetwork(11, "a", "b")
		n.claim(0, 0, "a")
		n.pass(0, 20_000, "a")
		Expect(n.claim(20_000, 20_200, "b").Holder).To(Equal("a"))
	})

	It("ends when nothing is heard of its coordinator for the lease", func() {
		n := newNetwork(11, "a", "b")
		n.claim(0, 0, "a")
		Expect(n.claim(2600, 2600, "b").Holder).To(Equal("a"))
		n.pass(2600, 2640, "b")
		Expect(n.claim(2640, 2640, "b").Confirmed).To(BeTrue())
	})

	It("is denied while one witness of its holder does not answer", func() {
		n := newNetwork(11, "a", "b")
		n.claim(0, 0, "a")
		n.silent[linkName("b", n.witnessesOf()[0])] = true
		Expect(n.claim(30, 200, "b").Holder).To(Equal("a"))
	})

	It("is not granted by a witness that has just started, which denies what it has heard since", func() {
		n := newNetwork(3, "a", "b")
		n.claim(0, 0, "a")
		for name := range n.witnesses {
			n.disconnect(after(10), "a", name)
			n.disconnect(after(10), "b", name)
			n.witnesses[name] = claims.NewWitness(after(20), lease)
		}
		n.connect(after(30), "a", "w0")
		n.exchange(after(30), "a")
		for name := range n.witnesses {
			n.connect(after(40), "b", name)
		}
		o := n.claim(40, 400, "b")
		Expect(o.Holder).To(Equal("a"))
		Expect(o.Unsure).To(Equal(2))
	})

	It("does not keep a job from running when no witness can be reached", func() {
		n := newNetwork(3, "a")
		for name := range n.witnesses {
			n.disconnect(after(10), "a", name)
		}
		o := n.claim(20, 20, "a")
		Expect(o.Holder).To(BeEmpty())
		Expect(o.Confirmed).To(BeFalse())
	})

	It("does not keep a job waiting for long when no witness answers", func() {
		n := newNetwork(3, "a")
		for name := range n.witnesses {
			n.silent[linkName("a", name)] = true
		}
		o := n.claim(0, 200, "a")
		Expect(o.Holder).To(BeEmpty())
		Expect(o.Silent).To(Equal(3))
		Expect(o.Age).To(BeNumerically("<=", 160*time.Millisecond))
	})

	It("does not keep a job waiting for a witness that is not there while the others have just started", func() {
		n := newNetwork(3, "a")
		for name := range n.witnesses {
			n.witnesses[name] = claims.NewWitness(after(20), lease)
		}
		n.claimants["a"] = claims.NewClaimant()
		n.claimants["a"].SetPool(after(20), claims.Pool([]claims.Worker{{Address: "w0"}, {Address: "w1"}, {Address: "w2"}}))
		n.connect(after(30), "a", "w0")
		n.connect(after(30), "a", "w1")
		o := n.claim(40, 60, "a")
		Expect(o.Holder).To(BeEmpty())
		Expect(o.Unsure).To(Equal(2))
		Expect(o.Age).To(BeNumerically("<=", 20*time.Millisecond))
	})

	It("waits for answers that may be unread after a stall", func() {
		n := newNetwork(3, "a", "b")
		n.claim(0, 0, "b")
		n.claimants["a"].Claim(after(10), job)
		sends := n.claimants["a"].Take(after(10)).Sends
		n.claimants["a"].Stalled(after(1000))
		n.claimants["a"].Tick(after(1000))
		Expect(n.claimants["a"].Take(after(1000)).Outcomes).To(BeEmpty())
		for _, s := range sends {
			n.claimants["a"].Answered(after(1000), s.Address, n.witnesses[s.Address].Handle(after(20), n.conn("a", s.Address), s.Message))
		}
		Expect(n.claimants["a"].Take(after(1000)).Outcomes[0].Holder).To(Equal("b"))
	})

	It("moves to other witnesses when one is gone", func() {
		n := newNetwork(11, "a", "b")
		n.claim(0, 0, "a")
		gone := n.witnessesOf()[:2]
		for _, name := range gone {
			n.disconnect(after(100), "a", name)
			n.disconnect(after(100), "b", name)
		}
		n.pass(100, 3000, "a", "b")
		o := n.claim(3000, 3200, "b")
		Expect(o.Holder).To(Equal("a"))
		Expect(o.Denied).To(BeNumerically(">=", 2))
	})

	It("ignores what arrives late over a connection that was replaced", func() {
		n := newNetwork(1, "a", "b")
		n.claim(0, 0, "a")
		w := n.witnesses["w0"]
		late := n.conn("a", "w0")
		n.claimants["a"].Down(after(100), "w0")
		n.connect(after(200), "a", "w0")
		n.exchange(after(200), "a")
		Expect(w.Handle(after(300), late, &wire.JobClaims{Seq: 9, Withdrawn: []uint64{job.Number()}})).To(BeNil())
		Expect(n.claim(300, 500, "b").Holder).To(Equal("a"))
	})
})

// TestOneHolder: whatever connections break, and whichever witnesses restart one at a time, two
// coordinators that each reach a majority of a job's witnesses never both have its claim confirmed.
func TestOneHolder(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		n := newNetwork(rapid.IntRange(1, 7).Draw(t, "witnesses"), names...)
		holders := make(map[string]bool)
		var restartedAt time.Time
		for now := 0; now < 6000; {
			now += rapid.IntRange(1, 400).Draw(t, "pause")
			k := rapid.SampledFrom(names).Draw(t, "coordinator")
			w := fmt.Sprintf("w%d", rapid.IntRange(0, len(n.witnesses)-1).Draw(t, "witness"))
			switch rapid.SampledFrom([]string{"claim", "withdraw", "reconnect", "restart"}).Draw(t, "event") {
			case "claim":
				n.claimants[k].Claim(after(now), job)
			case "withdraw":
				n.claimants[k].Withdraw(job)
				delete(holders, k)
			case "reconnect":
				n.disconnect(after(now), k, w)
				n.connect(after(now), k, w)
			case "restart":
				if after(now).Sub(restartedAt) < lease {
					continue
				}
				restartedAt = after(now)
				n.witnesses[w] = claims.NewWitness(after(now), lease)
				for _, k := range names {
					n.claimants[k].Down(after(now), w)
					n.connect(after(now), k, w)
				}
			}
			n.pass(now, now, names...)
			for _, k := range names {
				for _, o := range n.outcomes[k] {
					if o.Holder == "" && o.Confirmed {
						holders[k] = true
					}
				}
				n.outcomes[k] = nil
			}
			if len(holders) > 1 {
				t.Fatalf("at %d ms the claim is confirmed for %v", now, holders)
			}
		}
	})
}
