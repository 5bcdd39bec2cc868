package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/wire"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

const bound = 500 * time.Millisecond

var (
	start  = time.UnixMilli(1_800_000_000_000)
	limits = claim.Limits{Entries: 3, Window: time.Minute, ClockBound: bound}
	one    = claim.Owner{Address: "10.0.0.1:7071", Incarnation: "a"}
	two    = claim.Owner{Address: "10.0.0.2:7071", Incarnation: "b"}
)

func id(at time.Time) string { return fmt.Sprintf("s@%d", at.UnixMilli()) }

var _ = Describe("a holder's table", func() {
	var t *claim.Table
	var now time.Time
	claimID := func(id, digest string, o claim.Owner, seq uint64) claim.Reply {
		return t.Claim(now, claim.Request{ID: id, Digest: digest, Owner: o, Seq: seq})
	}
	BeforeEach(func() {
		t = claim.New(start, limits)
		now = start.Add(2 * time.Second)
	})

	It("grants an ID once and then returns its owner", func() {
		Expect(claimID(id(now), "x", one, 5).Verdict).To(Equal(claim.Granted))
		Expect(claimID(id(now), "x", two, 1)).To(Equal(claim.Reply{Verdict: claim.Held, Owner: one, Seq: 5}))
		Expect(claimID(id(now), "y", two, 1).Verdict).To(Equal(claim.Mismatch))
		Expect(t.Lookup(now, id(now)).Verdict).To(Equal(claim.Held))
		Expect(t.Lookup(now, "other@"+id(now)[2:]).Verdict).To(Equal(claim.Absent))
	})

	It("grants no ID that an earlier process may have granted", func() {
		Expect(t.MinTime()).To(Equal(start.Add(2 * bound)))
		Expect(claimID(id(t.MinTime().Add(-time.Millisecond)), "x", one, 1).Verdict).To(Equal(claim.Unknown))
		Expect(claimID(id(t.MinTime()), "x", one, 1).Verdict).To(Equal(claim.Granted))
	})

	It("grants no ID whose time is outside the window or the clock bound", func() {
		Expect(claimID(id(now.Add(bound)), "x", one, 1).Verdict).To(Equal(claim.Granted))
		Expect(claimID(id(now.Add(bound+time.Millisecond)), "x", one, 1).Verdict).To(Equal(claim.TooEarly))
		now = now.Add(2 * time.Minute)
		Expect(claimID(id(start.Add(2*time.Second)), "x", one, 1).Verdict).To(Equal(claim.Unknown))
		Expect(claimID("no time", "x", one, 1).Verdict).To(Equal(claim.Unknown))
	})

	It("never grants an ID again whose grant was removed because the table was full", func() {
		var ids []string
		for i := range 5 {
			ids = append(ids, id(now.Add(time.Duration(i)*time.Millisecond)))
			Expect(claimID(ids[i], "x", one, 1).Verdict).To(Equal(claim.Granted))
		}
		kept, evicted := t.Len()
		Expect(kept).To(Equal(3))
		Expect(evicted).To(Equal(uint64(2)))
		Expect(claimID(ids[0], "x", two, 1).Verdict).To(Equal(claim.Unknown))
		Expect(claimID(ids[4], "x", two, 1).Verdict).To(Equal(claim.Held))
	})

	It("removes a grant only when a clock set back by the bound cannot make its ID valid again", func() {
		old := id(now)
		Expect(claimID(old, "x", one, 1).Verdict).To(Equal(claim.Granted))
		now = now.Add(limits.Window + bound)
		Expect(claimID(old, "x", two, 1).Verdict).To(Equal(claim.Held))
		now = now.Add(2 * bound)
		Expect(claimID(old, "x", two, 1).Verdict).To(Equal(claim.Unknown))
	})

	It("refuses claims made with another list of holders", func() {
		h := claim.Holder{Table: t, Assignment: claim.Assignment([]string{"a", "b"})}
		m := &wire.Claim{Seq: 1, Submission: id(now), Assignment: claim.Assignment([]string{"a"})}
		Expect(h.Serve(now, one, m).Verdict).To(Equal(uint8(claim.NotHolder)))
		m.Assignment = h.Assignment
		Expect(h.Serve(now, one, m).Verdict).To(Equal(uint8(claim.Granted)))
	})
})

var _ = Describe("IDs", func() {
	It("carry their time in a UUIDv7 or after an @", func() {
		u := uuid.Must(uuid.NewV7())
		at, ok := claim.IDTime(u.String())
		Expect(ok).To(BeTrue())
		Expect(at).To(BeTemporally("~", time.Now(), 10*time.Second))
		at, ok = claim.IDTime("claim-7@1800000000123")
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(start.Add(123 * time.Millisecond)))
	})

	DescribeTable("without a valid time are rejected", func(s string) {
		_, ok := claim.IDTime(s)
		Expect(ok).To(BeFalse())
	},
		Entry("a plain name", "claim-7"), Entry("no name", "@1800000000123"), Entry("no number", "a@"),
		Entry("a negative number", "a@-5"), Entry("a huge number", "a@99999999999999999999"),
		Entry("UUIDv4", "f47ac10b-58cc-4372-a567-0e02b2c3d479"), Entry("nothing", ""))

	It("have one holder each, are spread evenly, and keep their holder when another is removed", func() {
		var members []string
		for i := range 10 {
			members = append(members, fmt.Sprintf("10.0.0.%d:7071", i))
		}
		count := make(map[string]int)
		moved := 0
		for i := range 10000 {
			id := fmt.Sprintf("s%d@1800000000000", i)
			h := claim.HolderOf(id, members)
			count[h]++
			if h != members[9] && claim.HolderOf(id, members[:9]) != h {
				moved++
			}
		}
		Expect(moved).To(BeZero())
		for m, n := range count {
			Expect(n).To(BeNumerically("~", 1000, 150), m)
		}
		Expect(claim.HolderOf("s@1", nil)).To(BeEmpty())
	})
})
