package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/submissions/claim"
)

func BenchmarkClaim(b *testing.B) {
	t := claim.New(start, claim.Limits{Entries: 100000, Window: time.Hour, ClockBound: bound})
	now := start.Add(time.Minute)
	n := 0
	for b.Loop() {
		n++
		id := fmt.Sprintf("s%d@%d", n, now.UnixMilli())
		if t.Claim(now, claim.Request{ID: id, Digest: "d", Owner: one}).Verdict != claim.Granted {
			now = now.Add(time.Second) // the table was full, and MinTime rose past this time
		}
	}
}

func BenchmarkHolderOf960(b *testing.B) {
	members := make([]string, 960)
	for i := range members {
		members[i] = fmt.Sprintf("10.0.%d.%d:7071", i/250, i%250)
	}
	for b.Loop() {
		claim.HolderOf("01a23640-d9d1-7b19-8c59-77306f9199ef", members)
	}
}
