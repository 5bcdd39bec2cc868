package local_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/coordinator"
)

// startsOf returns how many runs all backend servers have started.
func (s jobSystem) startsOf() int {
	n := 0
	for _, b := range s.Backends {
		n += len(b.Journal())
	}
	return n
}

// chainOf returns a best-effort job of steps that follow one another, each of one task.
func chainOf(n, steps int) coordinator.JobRequest {
	j := jobOf(n, true, 1)
	for k := 1; k < steps; k++ {
		step := j.Steps[0]
		step.After = []uint32{uint32(k - 1)}
		j.Steps = append(j.Steps, step)
	}
	return j
}

var _ = Describe("a cancel of a best-effort job", func() {
	const taskTime = 300 * time.Millisecond

	// Guards against a best-effort job that goes on after its cancel was answered with "no such job".
	DescribeTable("ends it, whichever coordinator gets the cancel", func(at int, refused bool) {
		s := startJobs(taskTime)
		answered := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body := s.call(http.MethodPost, 0, "/v1/jobs", chainOf(7, 20))
			answered <- body
		}()
		Eventually(s.startsOf, waitLimit).Should(BeNumerically(">", 0))
		s.Store.Refuse(refused)
		status, body := s.call(http.MethodDelete, at, "/v1/jobs/"+fmt.Sprintf("%016x", 7), nil)
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(body).To(ContainSubstring("cancelled"))
		Eventually(answered, waitLimit).Should(Receive(ContainSubstring("cancelled")))
		begun := s.startsOf()
		Consistently(s.startsOf).WithTimeout(4 * taskTime).Should(Equal(begun))
	},
		Entry("the one that has it", 0, false),
		Entry("another one", 1, false),
		Entry("another one, while the store refuses all calls", 2, true),
	)

	It("of a job that nobody has is answered so", func() {
		s := startJobs(taskTime)
		Eventually(func() int {
			status, _ := s.call(http.MethodDelete, 1, "/v1/jobs/"+fmt.Sprintf("%016x", 8), nil)
			return status
		}, waitLimit).Should(Equal(http.StatusGone))
	})
})
