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

var _ = Describe("the chosen workers", func() {
	cfg := subset.Settings{Size: 48, Coverage: 4}

	It("are all workers of the service if there are few", func() {
		workers := workersAt(addresses("w", 11), "s")
		chosen := subset.Choose(cfg, "c0:1", addresses("c", 3), workers, nil)
		Expect(chosen).To(HaveLen(11))
		Expect(cfg.Sharers("s", 11, 3, nil)).To(Equal(3.0))
	})

	It("are limited by Size, and together cover every worker", func() {
		coordinators := addresses("c", 205)
		workers := workersAt(addresses("w", 960), "s")
		covered, preferring := make(map[string]int), make(map[string]int)
		for _, self := range coordinators {
			chosen := subset.Choose(cfg, self, coordinators, workers, nil)
			Expect(chosen).To(HaveLen(48))
			for a, preferred := range chosen {
				covered[a]++
				if preferred {
					preferring[a]++
				}
			}
		}
		Expect(covered).To(HaveLen(960))
		Expect(preferring).To(HaveLen(960), "each worker is preferred by a coordinator")
		Expect(preferring).To(HaveEach(1), "and by just one")
		for _, n := range covered {
			Expect(n).To(BeNumerically("~", 205*48.0/960, 2))
		}
		Expect(cfg.Sharers("s", 960, 205, nil)).To(BeNumerically("~", 10.25, 0.01))
	})

	It("exceed Size if the coordinators are too few for the Coverage", func() {
		coordinators := addresses("c", 10)
		workers := workersAt(addresses("w", 960), "s")
		Expect(subset.Choose(cfg, "c3:1", coordinators, workers, nil)).To(HaveLen(384))
	})

	It("include further workers beside unreachable ones", func() {
		coordinators := addresses("c", 20)
		workers := workersAt(addresses("w", 200), "s")
		before := subset.Choose(cfg, "c3:1", coordinators, workers, nil)
		for i := range workers {
			_, isChosen := before[workers[i].Address]
			workers[i].Unreachable = isChosen && i%2 == 0
		}
		after := subset.Choose(cfg, "c3:1", coordinators, workers, nil)
		reachable := 0
		for _, w := range workers {
			if _, isChosen := after[w.Address]; isChosen && !w.Unreachable {
				reachable++
			}
		}
		Expect(reachable).To(Equal(48))
		for a := range before {
			Expect(after).To(HaveKey(a))
		}
	})

	It("are counted for each service separately", func() {
		workers := append(workersAt(addresses("w", 100), "s"), workersAt(addresses("v", 5), "t")...)
		chosen := subset.Choose(cfg, "c0:1", addresses("c", 30), workers, nil)
		Expect(chosen).To(HaveLen(53))
	})

	It("follow the demand of the coordinator, between the Coverage or MinSize and Size", func() {
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

	It("with a low demand are among those with a high demand", func() {
		coordinators := addresses("c", 55)
		workers := workersAt(addresses("w", 240), "s")
		few := subset.Choose(cfg, "c3:1", coordinators, workers, subset.Demand{"s": 0})
		many := subset.Choose(cfg, "c3:1", coordinators, workers, nil)
		for address, preferred := range few {
			Expect(many).To(HaveKeyWithValue(address, preferred))
		}
	})
})
