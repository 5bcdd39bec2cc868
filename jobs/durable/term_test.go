package durable_test

import (
	"slices"
	"testing"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// TestTermsAreSplitFromOtherRecords checks that terms are found among the records of a partition, in
// the order of their epochs, and that no key but that of a term is taken for one.
func TestTermsAreSplitFromOtherRecords(t *testing.T) {
	terms := []durable.Term{{Epoch: 9, Address: "10.0.0.1:7"}, {Epoch: 10, Address: "10.0.0.2:7"}}
	others := []durable.Record{{Key: "5c0e7a21d94b36f8s"}, {Key: "term/"}, {Key: "term/010"}, {Key: "term/-1"}, {Key: "term/1x"}, {Key: "term/18446744073709551616"}}
	records := append([]durable.Record{durable.TermRecord(terms[1]), durable.TermRecord(terms[0])}, others...)
	gotTerms, gotOthers := durable.SplitTerms(records)
	if !slices.Equal(gotTerms, terms) {
		t.Errorf("terms %v, want %v", gotTerms, terms)
	}
	if len(gotOthers) != len(others) {
		t.Errorf("other records %v, want %v", gotOthers, others)
	}
}
