package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/wire"
)

// BenchmarkTask runs best-effort jobs of 4 tasks through a core with different numbers of workers.
// Its figures are per task.
func BenchmarkTask(b *testing.B) {
	for _, workers := range []int{11, 66, 960} {
		b.Run(fmt.Sprintf("%d_workers", workers), func(b *testing.B) { benchmarkTask(b, workers) })
	}
}

func benchmarkTask(b *testing.B, workers int) {
	const width = 4
	cfg := config.DefaultScheduler()
	core := scheduler.New(cfg.Core("nadi"), 1)
	now := time.Unix(1000, 0)
	core.Evacuate(now, routing.Evacuations{Offset: 1})
	seen := make(map[string]uint64)
	status := func(name string) {
		core.Status(now, name, &wire.WorkerStatus{
			Stamp: 1, Ready: true, StartSeq: seen[name], Free: durable.Resources{CPU: 1 << 40, Memory: 1 << 40},
			Identity: &wire.BackendIdentity{Instance: name, Service: "s", Capacity: durable.Resources{CPU: 1 << 40, Memory: 1 << 40}},
		})
	}
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		core.WorkerUp(now, name, "nadi")
		status(name)
	}
	core.Take(now)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%width != 0 {
			continue
		}
		s := &durable.Submission{
			ID: durable.JobID(fmt.Sprintf("%016x", n)), BestEffort: true, Queue: durable.Queue{Service: "s", MaxAttempts: 3, Stretch: 2, TargetMS: 60},
			Steps: []durable.Step{{Count: width, Need: durable.Resources{CPU: 1000}, EstimateMS: 100}},
		}
		core.Submit(now, scheduler.Call(n+1), s, 0)
		for _, out := range core.Take(now).Sends {
			m, ok := out.Message.(*wire.StartRuns)
			if !ok {
				continue
			}
			seen[out.Worker] = m.Seq
			var ends wire.RunEnds
			for _, r := range m.Runs {
				ends.Ends = append(ends.Ends, wire.RunEnd{Ref: r.Ref, How: uint8(wire.EndDone), RunMS: 100})
			}
			core.Ends(now, out.Worker, &ends)
			status(out.Worker)
		}
		core.Take(now)
	}
}

// BenchmarkTick measures one round of heartbeats to 960 workers and their statuses. There are five
// rounds a second.
func BenchmarkTick(b *testing.B) {
	cfg := config.DefaultScheduler()
	core := scheduler.New(cfg.Core("nadi"), 1)
	now := time.Unix(1000, 0)
	core.Evacuate(now, routing.Evacuations{Offset: 1})
	const workers = 960
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		core.WorkerUp(now, name, "nadi")
		core.Status(now, name, &wire.WorkerStatus{Stamp: 1, Ready: true, Identity: &wire.BackendIdentity{Instance: name, Service: "s"}})
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(cfg.Heartbeat.D())
		core.Tick(now)
		for _, s := range core.Take(now).Sends {
			core.Status(now, s.Worker, &wire.WorkerStatus{Stamp: 1, Ready: true})
		}
	}
}
