package subset_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/subset"
)

func TestSubset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "subset")
}

func addresses(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s%d:1", prefix, i))
	}
	return out
}

func workersAt(addresses []string, service string) []subset.Worker {
	var out []subset.Worker
	for _, a := range addresses {
		out = append(out, subset.Worker{Address: a, Service: service})
	}
	return out
}

var _ = Describe("a subset of workers", func() {
	cfg := subset.Settings{Size: 48, Coverage: 4}

	It("is all of them where they are few", func() {
		workers := workersAt(addresses("w", 11), "s")
		chosen := subset.Choose(cfg, "c0:1", addresses("c", 3), workers, nil)
		Expect(chosen).To(HaveLen(11))
		Expect(cfg.Sharers("s", 11, 3, nil)).To(Equal(3.0))
	})

	It("does not grow with the workers, and leaves none out", func() {
		coordinators := addresses("c", 205)
		workers := workersAt(addresses("w", 960), "s")
		covered, homes := make(map[string]int), make(map[string]int)
		for _, self := range coordinators {
			chosen := subset.Choose(cfg, self, coordinators, workers, nil)
			Expect(chosen).To(HaveLen(48))
			for a, home := range chosen {
				covered[a]++
				if home {
					homes[a]++
				}
			}
		}
		Expect(covered).To(HaveLen(960))
		Expect(homes).To(HaveLen(960), "each has a home")
		Expect(homes).To(HaveEach(1), "and just one")
		for _, n := range covered {
			Expect(n).To(BeNumerically("~", 205*48.0/960, 2))
		}
		Expect(cfg.Sharers("s", 960, 205, nil)).To(BeNumerically("~", 10.25, 0.01))
	})

	It("grows where coordinators are too few to cover all workers", func() {
		coordinators := addresses("c", 10)
		workers := workersAt(addresses("w", 960), "s")
		Expect(subset.Choose(cfg, "c3:1", coordinators, workers, nil)).To(HaveLen(384))
	})

	It("takes others beside those that are lost", func() {
		coordinators := addresses("c", 20)
		workers := workersAt(addresses("w", 200), "s")
		before := subset.Choose(cfg, "c3:1", coordinators, workers, nil)
		for i := range workers {
			_, taken := before[workers[i].Address]
			workers[i].Unreachable = taken && i%2 == 0
		}
		after := subset.Choose(cfg, "c3:1", coordinators, workers, nil)
		reachable := 0
		for _, w := range workers {
			if _, taken := after[w.Address]; taken && !w.Unreachable {
				reachable++
			}
		}
		Expect(reachable).To(Equal(48))
		for a := range before {
			Expect(after).To(HaveKey(a))
		}
	})

	It("is drawn for each service apart", func() {
		workers := append(workersAt(addresses("w", 100), "s"), workersAt(addresses("v", 5), "t")...)
		chosen := subset.Choose(cfg, "c0:1", addresses("c", 30), workers, nil)
		Expect(chosen).To(HaveLen(53))
	})

	It("follows what the coordinator wants, between the least and the most", func() {
		coordinators := addresses("c", 55)
		workers := workersAt(addresses("w", 240), "s")
		for wanted, size := range map[int]int{0: 18, 15: 18, 30: 30, 500: 48} {
			chosen := subset.Choose(cfg, "c3:1", coordinators, workers, subset.Demand{"s": wanted})
			Expect(chosen).To(HaveLen(size))
			Expect(cfg.Sharers("s", 240, 55, subset.Demand{"s": wanted})).To(BeNumerically("~", 55*float64(size)/240, 0.01))
		}
		many := addresses("c", 960)
		Expect(subset.Choose(cfg, "c3:1", many, workers, subset.Demand{"s": 0})).To(HaveLen(subset.MinSize))
	})

	It("of one who wants few are among those of one who wants many", func() {
		coordinators := addresses("c", 55)
		workers := workersAt(addresses("w", 240), "s")
		few := subset.Choose(cfg, "c3:1", coordinators, workers, subset.Demand{"s": 0})
		many := subset.Choose(cfg, "c3:1", coordinators, workers, nil)
		for address, preferred := range few {
			Expect(many).To(HaveKeyWithValue(address, preferred))
		}
	})
})
