package scheduler_test

import (
	"strings"
	"testing"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// TestOrdersFitIntoFrames guards against jobs that stand still since the orders to one worker are longer
// than a frame together: the connection was closed, made again, and closed again by the same orders.
func TestOrdersFitIntoFrames(t *testing.T) {
	const (
		tasksOfJob    = 2000
		smallestFrame = 64 << 10 // that peers.max_frame may set
	)
	f := newFixture()
	s := job(durable.Step{Count: tasksOfJob, Need: durable.Resources{CPU: 1}, EstimateMS: 100})
	s.Spec = strings.Repeat("x", durable.MaxSpec)
	f.owning(map[durable.JobID]*durable.Stored{id: {Submission: s}})
	f.worker("w1")
	runs, lastSeq := 0, uint64(0)
	for _, out := range f.core.Take(f.now).Sends {
		m, isOrder := out.Message.(*wire.StartRuns)
		if !isOrder {
			continue
		}
		frame, err := wire.Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		if len(frame) > smallestFrame {
			t.Fatalf("a message has %d bytes", len(frame))
		}
		if m.Seq != lastSeq+1 {
			t.Fatalf("message %d follows message %d", m.Seq, lastSeq)
		}
		lastSeq = m.Seq
		runs += len(m.Runs)
	}
	if runs != tasksOfJob {
		t.Fatalf("%d of %d runs are ordered", runs, tasksOfJob)
	}
	// The worker has handled half of the messages: the other half is still to be subtracted from what
	// is free there.
	f.starts["w1"] = lastSeq / 2
	f.status("w1", 4000)
	free := f.core.Workers()[0].Free
	if free >= 4000-tasksOfJob/3 || free <= 4000-tasksOfJob {
		t.Errorf("%d thousandths of a core count as free", free)
	}
}
