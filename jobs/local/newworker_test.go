package local_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/fakebackend"
	"github.com/lichenfall/lichenfall/jobs/local"
)

// overlapping returns the tasks of which two runs went on at the same time.
func (s jobSystem) overlapping() []durable.TaskID {
	runs := make(map[durable.TaskID][]fakebackend.Run)
	for _, b := range s.Backends {
		for _, r := range b.Journal() {
			runs[r.Ref.Task] = append(runs[r.Ref.Task], r)
		}
	}
	var out []durable.TaskID
	for task, of := range runs {
		for i := range of {
			for k := range i {
				if overlap(&of[i], &of[k]) {
					out = append(out, task)
				}
			}
		}
	}
	return out
}

func overlap(a, b *fakebackend.Run) bool { return a.OngoingAt(b.Began) && b.OngoingAt(a.Began) }

// partitions returns how many partitions a coordinator owns.
func (s jobSystem) partitions(at int) func() int {
	return func() int {
		o, _ := s.Coordinators[at].Overview()
		return o.Partitions
	}
}

var _ = Describe("a worker that is added while the store gives one coordinator no answers", func() {
	// Guards against tasks that run twice at once: a coordinator that the store serves again took
	// partitions over before it had read of the worker, and did not ask it what it ran.
	It("is asked for its runs when that coordinator takes partitions over", func() {
		s := startSystem(local.Options{Coordinators: 2, Workers: 2, TaskTime: 3500 * time.Millisecond})
		Eventually(s.partitions(1), waitLimit).Should(BeNumerically(">", 0))
		away := s.StoreClients[1]
		away.Silence(true)
		away.DelayMembers(true)
		Eventually(s.partitions(0), waitLimit).Should(Equal(8))
		Expect(s.AddWorker()).To(Succeed())
		Eventually(func() int {
			o, _ := s.Coordinators[0].Overview()
			return len(o.Workers)
		}, waitLimit).Should(Equal(3))
		const jobs = 16
		for n := range jobs {
			s.submit(0, jobOf(n, false, 2))
		}
		Eventually(func() int { return len(s.Backends[2].Starts()) }, waitLimit).Should(BeNumerically(">", 0))
		away.Silence(false)
		Eventually(s.partitions(1), waitLimit).Should(BeNumerically(">", 0))
		for n := range jobs {
			s.awaitState(0, fmt.Sprintf("%016x", n), "completed")
		}
		Expect(s.overlapping()).To(BeEmpty())
	})
})
