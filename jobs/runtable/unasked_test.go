package runtable_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/lib/golden"
	"github.com/lichenfall/lichenfall/wire"
)

// scenario is a table with some coordinators of best-effort jobs, none of which requests
// capacity.
type scenario struct {
	table   *runtable.Table
	now     time.Time
	rnd     *rand.Rand
	out     strings.Builder
	seq     uint64 // of messages, runs and ends
	running []wire.RunRef
	stamps  map[string]int64
}

// TestMessagesWithoutCapacityRequests compares all messages of a worker to three coordinators
// with the golden file: through orders that fit and do not fit, ends, a smaller capacity, a
// drain and another incarnation.
func TestMessagesWithoutCapacityRequests(t *testing.T) {
	cfg := config.DefaultRuns()
	p := &scenario{now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(1, 2)), stamps: make(map[string]int64)}
	p.table = runtable.New(cfg.Core("dc"), p.now)
	p.table.Identify(p.now, identity)
	p.renewLease()
	p.renewLease()
	owners := []string{"a", "b", "c"}
	for _, o := range owners {
		p.table.OwnerUp(p.now, o, "member-"+o)
	}
	p.record()
	for i := range 400 {
		p.now = p.now.Add(time.Duration(p.rnd.IntN(15)) * time.Millisecond)
		p.step(i, owners[p.rnd.IntN(len(owners))])
		p.record()
	}
	golden.Check(t, "nobody-asks.golden", p.out.String())
}

func (p *scenario) step(i int, owner string) {
	p.seq++
	fmt.Fprintf(&p.out, "%d\n", i)
	switch {
	case i == 150, i == 220, i == 300:
		id := identity
		id.Capacity.CPU -= int64(i)
		id.Ready = i != 220
		if i == 300 {
			id.Instance = "i-2"
			p.running = nil
		}
		p.table.Identify(p.now, id)
	case i%4 == 0:
		p.table.Heartbeat(p.now, owner, &wire.OwnerHeartbeat{Seq: p.seq, Echo: p.stamps[owner]})
	case p.rnd.IntN(2) == 0:
		p.renewLease()
	default:
		r := ref(uint32(i), wire.BestEffortRun+uint32(p.seq))
		p.table.Start(p.now, owner, &wire.StartRuns{Seq: p.seq, Seen: p.stamps[owner], Runs: []wire.RunOrder{{Ref: r, BestEffort: true, Need: durable.Resources{CPU: 1500}}}})
	}
	p.table.Tick(p.now)
}

// renewLease renews the backend server's lease, with the end of a run in the answer if there is
// one.
func (p *scenario) renewLease() {
	call, ok := p.table.NextRenewal(p.now)
	if !ok {
		return
	}
	a := runtable.RenewAnswer{Result: runtable.RenewOK, Clock: p.now.Sub(time.Unix(0, 0))}
	if len(p.running) > 0 {
		p.seq++
		a.Ended = []runtable.ListedEnd{{Number: p.seq, Ref: p.running[0], Valid: true, How: wire.EndDone}}
		p.running = p.running[1:]
	}
	p.table.RenewAnswered(p.now, call, a)
}

// record writes down what the table sends, and accepts its starts.
func (p *scenario) record() {
	e := p.table.Take(p.now)
	for _, s := range e.Sends {
		fmt.Fprintf(&p.out, "  %s %s %s\n", s.Owner, s.Message.WireKind(), summary(s.Message))
		if m, ok := s.Message.(*wire.WorkerStatus); ok {
			p.stamps[s.Owner] = m.Stamp
		}
	}
	for _, c := range e.Starts {
		p.table.StartAnswered(p.now, c, runtable.StartAccepted)
		p.running = append(p.running, c.Ref)
	}
}

// summary returns the fields of a message that concern capacity and runs.
func summary(m wire.Message) string {
	switch m := m.(type) {
	case *wire.WorkerStatus:
		return fmt.Sprintf("%d %d %v %d %d", m.Stamp, m.StartSeq, m.Ready, m.Free.CPU, len(m.Waiting))
	case *wire.RunEnds:
		var b strings.Builder
		for _, e := range m.Ends {
			fmt.Fprintf(&b, "%d %s %s;", e.Ref.Task.Index, wire.End(e.How), e.Reason)
		}
		return b.String()
	}
	return ""
}
