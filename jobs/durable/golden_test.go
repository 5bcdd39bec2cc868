package durable_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/golden"
)

// TestEncodedRecords compares one record of each kind with its golden bytes: the store holds
// records of earlier versions, so the encoding must not change.
func TestEncodedRecords(t *testing.T) {
	s := &durable.Submission{
		ID:    "5c0e7a21d94b36f8",
		Queue: durable.Queue{Name: "q", Service: "s", Priority: -1, MaxAttempts: 3, Stretch: 1.5, TargetMS: 60},
		Spec:  "spec",
		Steps: []durable.Step{{Count: 4, Need: durable.Resources{CPU: 500, Memory: 256, GPU: 1}, EstimateMS: 900,
			DependsOn: []uint32{0}, Checkpoints: true, Requires: "label", Affinity: "r1-3", AntiAffinity: 2}},
		Epoch:      7,
		BestEffort: true,
	}
	p := &durable.Progress{State: uint8(durable.Failed), Done: durable.Bitmap{}.With(9), Failures: []durable.Failure{{Task: 3, Runs: []uint32{1, 65}}}}
	submission, err := durable.SubmissionRecord(s)
	if err != nil {
		t.Fatal(err)
	}
	progress, err := durable.ProgressRecord(s.ID, p)
	if err != nil {
		t.Fatal(err)
	}
	crashes, err := durable.ProgressRecord(s.ID, &durable.Progress{Crashes: durable.Crashes{{Task: 3, Instance: "i-1", Begun: true}}})
	if err != nil {
		t.Fatal(err)
	}
	records := []durable.Record{submission, progress, crashes, durable.SubmissionTombstone(s.ID), durable.ProgressTombstone(s.ID)}
	var out strings.Builder
	for _, r := range records {
		fmt.Fprintf(&out, "%s %x\n", r.Key, r.Value)
	}
	fmt.Fprintf(&out, "partition of 8: %d\n", s.ID.Partition(8))
	golden.Check(t, "records.golden", out.String())
}
