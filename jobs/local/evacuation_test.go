package local_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/coordinator"
	"github.com/lichenfall/lichenfall/jobs/local"
)

// overview returns what a coordinator says of itself.
func (s jobSystem) overview(i int) coordinator.Overview {
	o, ok := s.Coordinators[i].Overview()
	ExpectWithOffset(1, ok).To(BeTrue())
	return o
}

// evacuatedAt returns which data centres a coordinator knows to be evacuated.
func (s jobSystem) evacuatedAt(i int) []string {
	var out []string
	for _, e := range s.overview(i).Evacuations {
		out = append(out, e.DataCentre)
	}
	return out
}

// startsAt returns how many tasks the backend server of a worker has started.
func (s jobSystem) startsAt(worker int) int {
	n := 0
	for _, starts := range s.Backends[worker].Starts() {
		n += starts
	}
	return n
}

var _ = Describe("a data centre that operators evacuate", func() {
	It("starts nothing until it is taken back, is shown, and with all others has jobs refused at once", func() {
		s := startSystem(local.Options{Coordinators: 2, Workers: 2, DataCentres: []string{"east", "west"}, TaskTime: 5 * time.Millisecond})
		s.submit(0, jobOf(1, true, 4))
		s.submit(1, jobOf(2, true, 4))

		s.Store.Evacuate("east")
		for i := range s.Coordinators {
			Eventually(func() []string { return s.evacuatedAt(i) }).WithTimeout(patience).Should(Equal([]string{"east"}))
		}
		before := s.startsAt(0)
		for n := range 10 {
			s.submit(n%2, jobOf(10+n, true, 4))
		}
		Expect(s.startsAt(0)).To(Equal(before))
		Expect(s.overview(0).Workers).To(ContainElement(And(HaveField("DataCentre", "east"), HaveField("Evacuated", true), HaveField("Connected", true), HaveField("Ready", false))))

		s.Store.Evacuate("east", "west")
		for i := range s.Coordinators {
			Eventually(func() []string { return s.evacuatedAt(i) }).WithTimeout(patience).Should(HaveLen(2))
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
			s.submit(n%2, jobOf(n, true, 8)) // each coordinator prefers another worker
			return s.startsAt(0)
		}).WithTimeout(patience).Should(BeNumerically(">", before))
	})

	It("stays so for a worker and a coordinator that begin meanwhile", func() {
		s := startSystem(local.Options{Coordinators: 1, Workers: 2, DataCentres: []string{"east", "west"}, TaskTime: 5 * time.Millisecond})
		s.submit(0, jobOf(1, true, 4))
		s.Store.Evacuate("east")
		Eventually(func() []string { return s.evacuatedAt(0) }).WithTimeout(patience).Should(HaveLen(1))
		before := s.startsAt(0)
		Expect(s.RestartWorker(0)).To(Succeed())
		Expect(s.AddCoordinator()).To(Succeed())
		for n := range 10 {
			s.submit(n%2, jobOf(10+n, true, 4))
		}
		Expect(s.startsAt(0)).To(Equal(before))
	})
})
