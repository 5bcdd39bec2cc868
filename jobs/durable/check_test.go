package durable_test

import (
	"testing"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// TestJobThatCannotBeReadAgainIsRefused guards against an accepted job that is left out at the next takeover:
// a list of over 65,536 numbers can be stored and not be decoded.
func TestJobThatCannotBeReadAgainIsRefused(t *testing.T) {
	s := &durable.Submission{ID: "5c0e7a21d94b36f8", Steps: []durable.Step{{Count: 1}, {Count: 1, DependsOn: make([]uint32, 65537)}}}
	if err := s.Check(); err == nil {
		t.Error("it is accepted")
	}
	s.Steps[1].DependsOn = make([]uint32, durable.MaxSteps)
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	r, err := durable.SubmissionRecord(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, malformed := durable.Collect([]durable.Record{r}); len(malformed) > 0 {
		t.Error("the longest list that is accepted can't be decoded")
	}
}
