package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/submissions/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var _ = Describe("an entry's view of the agents (hazard 24)", func() {
	const absentTimeout = 30 * time.Second
	var v *membership.View
	now := time.Unix(1_800_000_000, 0)
	list := func(version uint64, boxes ...membership.Box) membership.BoxList {
		return membership.BoxList{Version: version, Boxes: boxes}
	}
	live := func(a string) membership.Box { return membership.Box{Address: a, State: membership.Live} }
	leaving := func(a string) membership.Box { return membership.Box{Address: a, State: membership.Leaving} }
	BeforeEach(func() { v = membership.New([]string{"fixed"}, absentTimeout) })

	It("dials agents that the list names and the settings do not", func() {
		c, ok := v.Apply(now, list(1, live("fixed"), live("new")))
		Expect(ok).To(BeTrue())
		Expect(c.Dial).To(ConsistOf("new"))
		Expect(v.Known()).To(ConsistOf("fixed", "new"))
	})

	It("ignores a list that is older or empty", func() {
		_, ok := v.Apply(now, list(5, live("a")))
		Expect(ok).To(BeTrue())
		_, ok = v.Apply(now, list(4, leaving("a")))
		Expect(ok).To(BeFalse())
		_, ok = v.Apply(now, list(6))
		Expect(ok).To(BeFalse())
		Expect(v.Version()).To(Equal(uint64(5)))
		Expect(v.ListedLeaving("a")).To(BeFalse())
	})

	It("reports once that a box is leaving, and once that it no longer is", func() {
		_, _ = v.Apply(now, list(1, live("a")))
		c, _ := v.Apply(now, list(2, leaving("a")))
		Expect(c.Leaving).To(ConsistOf("a"))
		c, _ = v.Apply(now, list(3, leaving("a")))
		Expect(c.Leaving).To(BeEmpty())
		c, _ = v.Apply(now, list(4, live("a")))
		Expect(c.NotLeaving).To(ConsistOf("a"))
	})

	It("keeps a box that is missing from the list while it is connected, or from one reading only", func() {
		_, _ = v.Apply(now, list(1, live("a"), live("b")))
		v.SetConnected(now, "a", true)
		_, _ = v.Apply(now, list(2, live("c")))
		Expect(v.Expire(now.Add(absentTimeout - time.Second)).Drop).To(BeEmpty())
		_, _ = v.Apply(now.Add(absentTimeout), list(3, live("b"), live("c")))
		Expect(v.Expire(now.Add(2 * absentTimeout)).Drop).To(BeEmpty())
		v.SetConnected(now.Add(2*absentTimeout), "a", false)
		Expect(v.Expire(now.Add(3 * absentTimeout)).Drop).To(ConsistOf("a"))
	})

	It("never drops agents named in the settings", func() {
		_, _ = v.Apply(now, list(1, live("a")))
		Expect(v.Expire(now.Add(time.Hour)).Drop).To(BeEmpty())
		Expect(v.Known()).To(ContainElement("fixed"))
	})
})
