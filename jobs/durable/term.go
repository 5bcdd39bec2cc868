package durable

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// termPrefix begins the key of a term's record; the term's epoch follows in decimal digits.
const termPrefix = "term/"

// Term is one ownership of a partition by a coordinator. Its record is in the partition from before
// the coordinator acts as the owner until a later owner knows that the term has ended. So the records
// name all coordinators that may still act on the partition.
type Term struct {
	Epoch   uint64 // fencing epoch
	Address string // where the coordinator listens for its peers
}

// TermRecord returns the record of a term: the epoch is in its key, the address is its value.
func TermRecord(t Term) Record { return Record{termKey(t.Epoch), []byte(t.Address)} }

// TermTombstone returns the record that removes a term's record from the store.
func TermTombstone(epoch uint64) Record { return Record{Key: termKey(epoch)} }

func termKey(epoch uint64) string { return termPrefix + strconv.FormatUint(epoch, 10) }

// SplitTerms returns the terms among the records of a partition, in the order of their epochs, and the
// other records.
func SplitTerms(records []Record) (terms []Term, others []Record) {
	for _, r := range records {
		if epoch, isTerm := termEpoch(r.Key); isTerm {
			terms = append(terms, Term{epoch, string(r.Value)})
		} else {
			others = append(others, r)
		}
	}
	slices.SortFunc(terms, func(a, b Term) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return terms, others
}

// termEpoch returns the epoch in the key of a term's record.
func termEpoch(key string) (epoch uint64, isTerm bool) {
	digits, found := strings.CutPrefix(key, termPrefix)
	if !found {
		return 0, false
	}
	epoch, err := strconv.ParseUint(digits, 10, 64)
	return epoch, err == nil && termKey(epoch) == key
}
