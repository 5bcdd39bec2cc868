package runtable_test

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/wire"
)

// seenAll is a stamp above those of all statuses.
const seenAll = 1 << 40

// benchTable returns a table that takes orders.
func benchTable(now time.Time) *runtable.Table {
	cfg := config.DefaultRuns()
	t := runtable.New(cfg.Core("dc"), now)
	t.Identify(now, identity)
	for range 2 {
		call, _ := t.NextRenewal(now)
		t.RenewAnswered(now, call, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: time.Hour})
	}
	t.OwnerUp(now, owner, member)
	t.Heartbeat(now, owner, &wire.OwnerHeartbeat{Seq: 1, Echo: 1})
	t.Take(now)
	return t
}

// BenchmarkRun takes one best-effort run from its order to its end.
func BenchmarkRun(b *testing.B) {
	now := time.Unix(1000, 0)
	t := benchTable(now)
	b.ReportAllocs()
	for n := uint64(1); b.Loop(); n++ {
		ref := wire.RunRef{Run: wire.BestEffortRun + uint32(n)}
		ref.Task.Job = job
		t.Start(now, owner, &wire.StartRuns{Seq: n, Seen: seenAll, Runs: []wire.RunOrder{{Ref: ref, BestEffort: true}}})
		for _, c := range t.Take(now).Starts {
			t.StartAnswered(now, c, runtable.StartAccepted)
		}
		call, _ := t.NextRenewal(now)
		t.RenewAnswered(now, call, runtable.RenewAnswer{Result: runtable.RenewOK, Clock: time.Hour, Ended: []runtable.ListedEnd{
			{Number: n, Ref: ref, Valid: true, How: wire.EndDone},
		}})
		t.Take(now)
		if n%1000 == 0 {
			now = now.Add(10 * time.Second) // drops the remembered ends
			t.Tick(now)
			t.Heartbeat(now, owner, &wire.OwnerHeartbeat{Seq: n, Echo: now.Sub(time.Unix(1000, 0)).Microseconds()})
		}
	}
}

// BenchmarkHeartbeat answers one heartbeat of an owner.
func BenchmarkHeartbeat(b *testing.B) {
	now := time.Unix(1000, 0)
	t := benchTable(now)
	b.ReportAllocs()
	for n := uint64(1); b.Loop(); n++ {
		t.Heartbeat(now, owner, &wire.OwnerHeartbeat{Seq: n, Echo: 1})
		t.Take(now)
	}
}
