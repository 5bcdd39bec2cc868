package runtable_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// refused has the backend server refuse the connection of a renewal.
func (f *fixture) refused() {
	call, ok := f.table.NextRenewal(f.now)
	ExpectWithOffset(1, ok).To(BeTrue())
	f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
}

// refusedUntilGivenUp has every connection refused until the life is given up, and returns the
// ends that are told until then.
func (f *fixture) refusedUntilGivenUp() []wire.RunEnd {
	var told []wire.RunEnd
	for range 200 {
		if call, ok := f.table.NextRenewal(f.now); ok {
			f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
		}
		f.heartbeat(7)
		f.pass(10 * time.Millisecond)
		e := f.take()
		told = append(told, ends(e)...)
		for _, n := range e.Notes {
			if n.What == runtable.BackendLost {
				return told
			}
		}
	}
	return told
}

// atWork is a table with a best-effort run that its backend server has begun.
func atWork() *fixture {
	f := newFixture().ready()
	f.order(0, best)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
	f.hold([]runtable.ListedRun{{Ref: best}})
	return f
}

// TestRefusedConnectionEndsNoRun guards against a task that runs twice since its worker calls a
// backend server dead that refuses connections for a while and runs on.
func TestRefusedConnectionEndsNoRun(t *testing.T) {
	refusals := map[string]func(f *fixture){
		"of a renewal": func(f *fixture) { f.refused() },
		"of an order": func(f *fixture) {
			f.order(0, ref(5, wire.BestEffortRun+1))
			f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartConnectionRefused)
			Expect(ends(f.take())).To(ConsistOf(HaveField("How", uint8(wire.EndNotRun))), "that order never came")
		},
	}
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			f := atWork()
			refuse(f)
			f.pass(300 * time.Millisecond)
			e := f.take()
			Expect(ends(e)).To(BeEmpty())
			f.order(0, ref(6, wire.BestEffortRun+1))
			Expect(how(ends(f.take())[0])).To(Equal(wire.EndNotRun), "it takes nothing meanwhile")
			f.hold([]runtable.ListedRun{{Ref: best}})
			f.hold(nil, runtable.ListedEnd{Number: 1, Ref: best, Valid: true, How: wire.EndDone})
			Expect(ends(f.take())).To(ConsistOf(HaveField("How", uint8(wire.EndDone))))
		})
	}
}

// TestRefusedConnectionsUntilTheLeaseIsOver guards against a task that waits for ever since its
// backend server refuses connections: no run outlives the lease.
func TestRefusedConnectionsUntilTheLeaseIsOver(t *testing.T) {
	RegisterTestingT(t)
	f := atWork()
	over := f.now.Add(time.Duration(1.02 * float64(f.cfg.BackendLease)))
	var told []wire.RunEnd
	for len(told) == 0 && f.now.Before(over.Add(time.Second)) {
		if call, ok := f.table.NextRenewal(f.now); ok {
			f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewConnectionRefused})
		}
		f.beat(owner)
		f.pass(20 * time.Millisecond)
		told = ends(f.take())
	}
	Expect(told).To(ConsistOf(HaveField("How", uint8(wire.EndCrashed))))
	Expect(f.now).To(BeTemporally(">", over))
	Expect(f.now).To(BeTemporally("<", over.Add(200*time.Millisecond)))
	Expect(f.table.Identity().Ready).To(BeFalse(), "with nothing left there the life is given up")
}
