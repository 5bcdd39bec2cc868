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

// BenchmarkRound measures one round of dispatch with tasks that can't be placed: those of different needs
// wait for full workers.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{48, 960} {
		for _, waiting := range []int{100, 10000, 100000} {
			for _, different := range []int{1, 24, 200} {
				b.Run(fmt.Sprintf("%d_workers_%d_tasks_%d_needs", workers, waiting, min(waiting, different)), func(b *testing.B) {
					benchmarkRound(b, workers, waiting, different)
				})
			}
		}
	}
}

func benchmarkRound(b *testing.B, workers, waiting, different int) {
	const width = 100
	cfg := config.DefaultScheduler()
	cfg.MaxJobs = 1 << 20
	core := scheduler.New(cfg.Core("nadi"), 1)
	now := time.Unix(1000, 0)
	core.Evacuate(now, routing.Evacuations{Offset: 1})
	stored := make(map[uint32]map[durable.JobID]*durable.Stored)
	for n := range waiting / width {
		id := durable.JobID(fmt.Sprintf("%016x", n+1))
		s := &durable.Submission{ID: id, Queue: durable.Queue{Service: "s", MaxAttempts: 3, Stretch: 2, TargetMS: 600000}}
		for k := range width {
			label := fmt.Sprintf("label-%d", (n*width+k)%different)
			s.Steps = append(s.Steps, durable.Step{Count: 1, Requires: label, Need: durable.Resources{CPU: 1000}, EstimateMS: 100})
		}
		p := id.Partition(cfg.Partitions)
		if stored[p] == nil {
			stored[p] = make(map[durable.JobID]*durable.Stored)
		}
		stored[p][id] = &durable.Stored{Submission: s}
	}
	for i := range workers {
		name := fmt.Sprintf("w%03d", i)
		core.WorkerUp(now, name, "nadi")
		core.Status(now, name, &wire.WorkerStatus{
			Stamp: 1, Ready: true, Identity: &wire.BackendIdentity{Instance: name, Service: "s",
				Capacity: durable.Resources{CPU: 16000, Memory: 1 << 20}, Labels: []string{fmt.Sprintf("label-%d", i%different)}},
		})
	}
	for p, jobs := range stored {
		core.Acquire(now, &scheduler.Takeover{Partition: p, Epoch: 1, Jobs: jobs})
		for i := range workers {
			core.Runs(now, fmt.Sprintf("w%03d", i), &wire.PartitionRuns{Partition: p, Epoch: 1})
		}
	}
	core.Confirmed(now, now)
	core.Tick(now)
	core.Take(now)
	b.ReportAllocs()
	for b.Loop() {
		core.Take(now)
	}
}
