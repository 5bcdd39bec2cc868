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

// sendHeartbeat renews the best-effort lease of the coordinator on the connection, from now.
func (f *fixture) sendHeartbeat(name string) {
	f.table.Heartbeat(f.now, name, &wire.OwnerHeartbeat{Echo: f.now.Sub(time.Unix(1000, 0)).Microseconds() + 1})
}

// orderedTwice returns a table with one run that two coordinators have ordered independently.
func orderedTwice() *fixture {
	f := newFixture().ready()
	f.order(0, bestEffortRef)
	f.table.StartAnswered(f.now, f.take().Starts[0], runtable.StartAccepted)
	f.table.OwnerUp(f.now, other, "c1/1")
	f.sendHeartbeat(other)
	f.start(other, &wire.StartRuns{Seq: 1, Runs: []wire.RunOrder{{Ref: bestEffortRef, BestEffort: true, Need: durable.Resources{CPU: 1500}}}})
	e := f.take()
	Expect(e.Starts).To(BeEmpty(), "it is the same run")
	Expect(ends(e)).To(BeEmpty())
	return f
}

// endRecipients returns the connections to which ends are sent.
func endRecipients(e runtable.Effects) []string {
	var names []string
	for _, s := range e.Sends {
		if _, ok := s.Message.(*wire.RunEnds); ok {
			names = append(names, s.Owner)
		}
	}
	return names
}

// TestBothCoordinatorsAreSentTheEnd guards against a coordinator that is not sent the end of its
// run, so that its caller waits for ever, because another has ordered the same run of the same
// job.
func TestBothCoordinatorsAreSentTheEnd(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"listed": func(f *fixture) {
			f.renewLease(nil, runtable.ListedEnd{Number: 1, Ref: bestEffortRef, Valid: true, How: wire.EndDone})
		},
		"crashed": func(f *fixture) { f.crash() },
		"lapsed": func(f *fixture) {
			f.advance(f.cfg.SilentAfter.D() + time.Millisecond)
			f.sendHeartbeat(owner)
			f.sendHeartbeat(other)
			f.advance(f.cfg.BackendLease.D())
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			f := orderedTwice()
			end(f)
			Expect(endRecipients(f.take())).To(ConsistOf(owner, other))
		})
	}
}

// TestCoOwnedRunIsStoppedWithTheFirstLease guards against a run that continues under the lease
// of one coordinator while the other writes it off.
func TestCoOwnedRunIsStoppedWithTheFirstLease(t *testing.T) {
	for _, renewing := range []string{owner, other} {
		RegisterTestingT(t)
		f := orderedTwice()
		f.advanceRenewing(f.cfg.BestEffortLease.D() / 2)
		f.sendHeartbeat(renewing)
		f.advanceRenewing(f.cfg.BestEffortLease.D()/2 + time.Millisecond)
		Expect(f.take().Stops).To(HaveLen(1))
	}
}

// TestCoOwnedRunIsStoppedByEither guards against a stop of the first coordinator that has no
// effect because another has ordered the same run.
func TestCoOwnedRunIsStoppedByEither(t *testing.T) {
	for _, stops := range []string{owner, other} {
		RegisterTestingT(t)
		f := orderedTwice()
		f.table.Stop(f.now, stops, &wire.StopRuns{Runs: []wire.RunRef{bestEffortRef}})
		Expect(f.take().Stops).To(HaveLen(1))
	}
}
