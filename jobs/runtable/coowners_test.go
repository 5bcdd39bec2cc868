package runtable_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

const other = "conn-2"

// beat renews the leases of a connection of best-effort jobs from now.
func (f *fixture) beat(name string) {
	f.table.Heartbeat(f.now, name, &wire.OwnerHeartbeat{Echo: f.now.Sub(time.Unix(1000, 0)).Microseconds() + 1})
}

// orderedTwice is a table with one run that two coordinators have ordered, each as its own.
func orderedTwice() *fixture {
	f := newFixture().ready()
	f.order(0, best)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
	f.table.OwnerUp(f.now, other, "c1/1")
	f.beat(other)
	f.table.Start(f.now, other, &wire.StartRuns{Seq: 1, Runs: []wire.RunOrder{{Ref: best, BestEffort: true, Need: durable.Resources{CPU: 1500}}}})
	e := f.take()
	Expect(e.Starts).To(BeEmpty(), "it is the same run")
	Expect(ends(e)).To(BeEmpty())
	return f
}

// told returns to whom ends were told.
func told(e runtable.Effects) []string {
	var names []string
	for _, s := range e.Sends {
		if _, ok := s.Message.(*wire.RunEnds); ok {
			names = append(names, s.Owner)
		}
	}
	return names
}

// TestBothCoordinatorsHearOfTheirRun guards against a coordinator hearing no more of its run, and
// its caller waiting for ever, once another has ordered the same run of the same job.
func TestBothCoordinatorsHearOfTheirRun(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"listed": func(f *fixture) {
			f.hold(nil, runtable.ListedEnd{Number: 1, Ref: best, Valid: true, How: wire.EndDone})
		},
		"crashed": func(f *fixture) { f.crash() },
		"lapsed": func(f *fixture) {
			f.pass(f.cfg.SilentAfter.D() + time.Millisecond)
			f.beat(owner)
			f.beat(other)
			f.pass(f.cfg.BackendLease.D())
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			f := orderedTwice()
			end(f)
			Expect(told(f.take())).To(ConsistOf(owner, other))
		})
	}
}

// TestRunOfTwoIsStoppedWithTheFirstLease guards against a run going on under the lease of one
// coordinator while the other writes it off.
func TestRunOfTwoIsStoppedWithTheFirstLease(t *testing.T) {
	for _, heard := range []string{owner, other} {
		RegisterTestingT(t)
		f := orderedTwice()
		f.passHolding(f.cfg.BestEffortLease.D() / 2)
		f.beat(heard)
		f.passHolding(f.cfg.BestEffortLease.D()/2 + time.Millisecond)
		Expect(f.take().Stops).To(HaveLen(1))
	}
}

// TestRunOfTwoIsStoppedByEither guards against a stop of the first coordinator doing nothing once
// another has ordered the same run.
func TestRunOfTwoIsStoppedByEither(t *testing.T) {
	for _, stops := range []string{owner, other} {
		RegisterTestingT(t)
		f := orderedTwice()
		f.table.Stop(f.now, stops, &wire.StopRuns{Runs: []wire.RunRef{best}})
		Expect(f.take().Stops).To(HaveLen(1))
	}
}
