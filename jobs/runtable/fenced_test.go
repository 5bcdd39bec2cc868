package runtable_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
)

// TestFencedTokenIsNotReused has the backend server answer an order or a renewal that it has
// seen a higher fencing token, while other calls are pending that are then resent. No later call
// may carry the old token.
func TestFencedTokenIsNotReused(t *testing.T) {
	for _, test := range []struct {
		name  string
		fence func(f *fixture, start runtable.StartCall)
	}{
		{"by an order", func(f *fixture, start runtable.StartCall) {
			f.table.StartAnswered(f.now, start, runtable.StartFenced)
		}},
		{"by a renewal", func(f *fixture, _ runtable.StartCall) {
			call, _ := f.table.NextRenewal(f.now)
			f.now = f.now.Add(time.Millisecond)
			f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewFenced, Clock: f.clock()})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			RegisterTestingT(t)
			f := newFixture().ready()
			f.order(7, ref(0, 1), ref(1, 1))
			starts := f.take().Starts
			passed := starts[0].Token
			f.table.StartAnswered(f.now, starts[1], runtable.StartUnknown)
			f.take()
			test.fence(f, starts[0])
			for range 200 { // 5 s, far more than the 3 s that the users allow
				f.advance(25 * time.Millisecond)
				if call, ok := f.table.NextRenewal(f.now); ok {
					if call.Token == passed {
						t.Fatal("the lease was renewed under a fenced token")
					}
					f.table.RenewAnswered(f.now, call, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: f.clock()})
				}
				e := f.take()
				for _, c := range e.Starts {
					if c.Token == passed {
						t.Fatal("a run was ordered under a fenced token")
					}
					f.table.StartAnswered(f.now, c, runtable.StartUnknown)
				}
				for _, c := range e.Stops {
					if c.Token == passed {
						t.Fatal("a run was stopped under a fenced token")
					}
					f.table.StopAnswered(f.now, c, true)
				}
			}
		})
	}
}
