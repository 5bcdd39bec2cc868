package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

var _ = Describe("the refusals shown to operators", func() {
	It("are those of each queue in the last ten seconds", func() {
		f := newFixture()
		f.worker("w1")
		f.status("w1", 0)
		refuse := func(n int) {
			f.status("w1", 0)
			j := bestEffort(200)
			j.ID = durable.JobID([]string{"5c0e7a21d94b3600", "5c0e7a21d94b3601", "5c0e7a21d94b3602", "5c0e7a21d94b3603"}[n])
			f.core.Submit(f.now, 1, j, 0)
		}
		refuse(0) // is admitted: no other job waits before it
		refuse(1)
		f.now = f.now.Add(6 * time.Second)
		refuse(2)
		queue := bestEffort(1).Queue.Name
		Expect(f.core.Refused(f.now)).To(Equal(map[string]uint32{queue: 2}))
		f.now = f.now.Add(6 * time.Second)
		Expect(f.core.Refused(f.now)).To(Equal(map[string]uint32{queue: 1}))
		f.now = f.now.Add(time.Minute)
		Expect(f.core.Refused(f.now)).To(BeEmpty())
	})
})
