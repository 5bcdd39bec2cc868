package local_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/coordinator"
	"github.com/lichenfall/lichenfall/jobs/local"
)

// overview returns the overview of a coordinator.
func (s jobSystem) overview(i int) coordinator.Overview {
	o, ok := s.Coordinators[i].Overview()
	ExpectWithOffset(1, ok).To(BeTrue())
	return o
}

// evacuatedAt returns the data centres that are evacuated by the overview of a coordinator.
func (s jobSystem) evacuatedAt(i int) []string {
	var out []string
	for _, e := range s.overview(i).Evacuations {
		out = append(out, e.DataCentre)
	}
	return out
}

// startsAt returns how many runs the backend server of a worker has started.
func (s jobSystem) startsAt(worker int) int {
	n := 0
	for _, starts := range s.Backends[worker].Starts() {
		n += starts
	}
	return n
}

var _ = Describe("a data centre that operators evacuate", func() {
	It("starts nothing until the evacuation ends, is in the overview, and if all are evacuated, jobs are refused at once", func() {
		s := startSystem(local.Options{Coordinators: 2, Workers: 2, DataCentres: []string{"east", "west"}, TaskTime: 5 * time.Millisecond})
		s.submit(0, jobOf(1, true, 4))
		s.submit(1, jobOf(2, true, 4))

		s.Store.Evacuate("east")
		for i := range s.Coordinators {
			Eventually(func() []string { return s.evacuatedAt(i) }).WithTimeout(waitLimit).Should(Equal([]string{"east"}))
		}
		before := s.startsAt(0)
		for n := range 10 {
			s.submit(n%2, jobOf(10+n, true, 4))
		}
		Expect(s.startsAt(0)).To(Equal(before))
		Expect(s.overview(0).Workers).To(ContainElement(And(HaveField("DataCentre", "east"), HaveField("Evacuated", true), HaveField("Connected", true), HaveField("Ready", false))))

		s.Store.Evacuate("east", "west")
		for i := range s.Coordinators {
			Eventually(func() []string { return s.evacuatedAt(i) }).WithTimeout(waitLimit).Should(HaveLen(2))
		}
		began := time.Now()
		status, _ := s.call(http.MethodPost, 0, "/v1/jobs", jobOf(30, true, 1))
		Expect(status).To(Equal(http.StatusTooManyRequests))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(s.overview(0).Queues).To(ContainElement(And(HaveField("Queue", local.Queue), HaveField("Refused", BeNumerically(">=", 1)))))

		s.Store.Evacuate()
		s.submit(0, jobOf(40, true, 4))
		n := 40
		Eventually(func() int {
			n++
			s.submit(n%2, jobOf(n, true, 8)) // to both coordinators, since each prefers a different worker
			return s.startsAt(0)
		}).WithTimeout(waitLimit).Should(BeNumerically(">", before))
	})

	It("stays evacuated for a worker and a coordinator that start meanwhile", func() {
		s := startSystem(local.Options{Coordinators: 1, Workers: 2, DataCentres: []string{"east", "west"}, TaskTime: 5 * time.Millisecond})
		s.submit(0, jobOf(1, true, 4))
		s.Store.Evacuate("east")
		Eventually(func() []string { return s.evacuatedAt(0) }).WithTimeout(waitLimit).Should(HaveLen(1))
		before := s.startsAt(0)
		Expect(s.RestartWorker(0)).To(Succeed())
		Expect(s.AddCoordinator()).To(Succeed())
		for n := range 10 {
			s.submit(n%2, jobOf(10+n, true, 4))
		}
		Expect(s.startsAt(0)).To(Equal(before))
	})
})
