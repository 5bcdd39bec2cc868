package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/submissions/placement"
	"github.com/lichenfall/lichenfall/wire"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

func newSet(choices, agents int) *placement.Set {
	s := placement.New(placement.Policy{Choices: choices}, rand.New(rand.NewPCG(1, 1)))
	for i := range agents {
		s.Add(&placement.Agent{ID: fmt.Sprint(i), Pool: "p", Slots: 8})
	}
	return s
}

func spread(s *placement.Set, n int) (least, most int) {
	for range n {
		s.Pick("p", nil)
	}
	least = n
	for _, a := range s.All() {
		least, most = min(least, a.Outstanding), max(most, a.Outstanding)
	}
	return least, most
}

var _ = Describe("placement", func() {
	It("spreads a job evenly when it compares all agents", func() {
		least, most := spread(newSet(0, 11), 110)
		Expect(least).To(Equal(10))
		Expect(most).To(Equal(10))
	})

	It("spreads tasks better by two choices than at random", func() {
		_, random := spread(newSet(1, 50), 1000)
		_, two := spread(newSet(2, 50), 1000)
		Expect(two).To(BeNumerically("<", random))
	})

	It("compares a limited number of agents of a large pool, and still spreads tasks well", func() {
		_, large := spread(newSet(0, 960), 4800)
		Expect(large).To(BeNumerically("<=", 7), "a mean of 5")
	})

	It("adds the tasks of other entries to its own, without counting its own twice", func() {
		s := newSet(0, 2)
		s.UpdateLoad("0", wire.Load{Queued: 2, Running: 8, Mine: 4, Slots: 8})
		for range 6 {
			Expect(s.Pick("p", nil).ID).To(Equal("1"))
		}
		Expect(s.Agent("1").Outstanding).To(Equal(6))
		s.Release("1", 6)
		Expect(s.Agent("1").Outstanding).To(BeZero())
	})

	It("avoids agents that are leaving or silent or have refused the task", func() {
		s := newSet(2, 4)
		s.UpdateLoad("0", wire.Load{Leaving: true})
		s.Agent("1").Silent = true
		for range 20 {
			Expect(s.Pick("p", []string{"2"}).ID).To(Equal("3"))
		}
		Expect(s.Pick("p", []string{"2", "3"})).To(BeNil())
		Expect(s.Pick("other", nil)).To(BeNil())
		s.Remove("3")
		Expect(s.Pick("p", []string{"2"})).To(BeNil())
		Expect(s.All()).To(HaveLen(3))
	})
})

var _ = Describe("an outlier among the backend servers (hazards 18 and 19)", func() {
	outliers := placement.OutlierSettings{SlowFactor: 3, MaxShare: 0.4, TrickleShare: 0.01}
	var s *placement.Set
	now := time.Unix(1_800_000_000, 0)
	BeforeEach(func() {
		s = placement.New(placement.Policy{Outliers: outliers}, rand.New(rand.NewPCG(1, 1)))
		for i := range 11 {
			s.Add(&placement.Agent{ID: fmt.Sprint(i), Pool: "p", Slots: 8})
		}
	})
	// share places n tasks and ends each before the next. Tasks at agent 0 take run
	// and fail if failed is set. It returns the share of tasks that agent 0 got.
	share := func(n int, run time.Duration, failed bool) float64 {
		got := 0
		for range n {
			a := s.Pick("p", nil)
			s.Release(a.ID, 1)
			if a.ID == "0" {
				got++
				s.Observe(a.ID, run, failed)
			} else {
				s.Observe(a.ID, 50*time.Millisecond, false)
			}
			now = now.Add(5 * time.Millisecond)
			s.DetectOutliers(now)
		}
		return float64(got) / float64(n)
	}

	It("that is slow gets a small share of the tasks, and a full one when it has recovered", func() {
		share(500, 500*time.Millisecond, false)
		Expect(s.Outliers()).To(Equal(1))
		Expect(share(2000, 500*time.Millisecond, false)).To(BeNumerically("<", 0.02))
		share(6000, 50*time.Millisecond, false)
		Expect(s.Outliers()).To(BeZero())
		Expect(share(2000, 50*time.Millisecond, false)).To(BeNumerically(">", 0.05))
	})

	It("that fails tasks fast does not attract more of them", func() {
		share(500, time.Millisecond, true)
		Expect(share(2000, time.Millisecond, true)).To(BeNumerically("<", 0.02))
	})

	It("is not detected when too many agents appear to be one (hazard 28)", func() {
		for range 20 {
			for i := range 11 {
				run := 50 * time.Millisecond
				if i < 5 {
					run = time.Second
				}
				s.Observe(fmt.Sprint(i), run, false)
			}
		}
		s.DetectOutliers(now.Add(time.Hour))
		Expect(s.Outliers()).To(BeZero())
	})
})
