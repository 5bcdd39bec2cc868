package promises

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// TestEndsLostWithServersAreNoCrashes guards against durable jobs that fail without cause: three times, a run
// has ended done and the server crashes before its worker, which is stalled, has read that. None of the
// crashes came during a run of the task.
func TestEndsLostWithServersAreNoCrashes(t *testing.T) {
	t.Parallel()
	const (
		taskTime = 100 * time.Millisecond
		stall    = 400 * time.Millisecond
		crashAt  = 120 * time.Millisecond // after the run was seen
		lookEach = 5 * time.Millisecond
		crashes  = 3
	)
	w := newWorldWith(envNumber("LICHENFALL_SEED", defaultSeed), func(w *world) { w.taskTime = taskTime })
	j := newClientJob(w, 0, false)
	j.failsAlways = false
	j.submission.Steps = []durable.Step{{Count: 1, Need: durable.Resources{CPU: 1000}, EstimateMS: taskTime.Milliseconds()}}
	w.after(warmUp, j.send)
	task := durable.TaskID{Job: j.submission.ID}
	left := crashes
	var look func()
	look = func() {
		for _, n := range w.workers {
			if left > 0 && n.backend.up && !n.stalled && n.backend.runCount(task) > 0 {
				left--
				n.stallFor(stall)
				w.after(crashAt, func() {
					n.backend.crash()
					n.backend.restart()
				})
			}
		}
		w.after(lookEach, look)
	}
	look()
	w.run(warmUp + recoveryPhase)
	w.awaitFinal()
	if left > 0 {
		t.Fatalf("%d servers were to crash and have not", left)
	}
	if w.violation != "" {
		t.Error(w.violation)
	}
}
