package load_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/submissions/load"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

func plan(seed uint64) load.Plan {
	fanOut, err := load.ParseDistribution("uniform:1-39")
	Expect(err).NotTo(HaveOccurred())
	taskTime, err := load.ParseDistribution("const:50")
	Expect(err).NotTo(HaveOccurred())
	return load.Plan{Arrivals: load.Arrivals{Rate: 100}, FanOut: fanOut, TaskTime: taskTime, Duration: 20 * time.Second, MaxFanOut: 150, Seed: seed}
}

var _ = Describe("a plan", func() {
	It("draws the same arrivals from the same seed, at its rate", func() {
		Expect(load.Trace(plan(1))).To(Equal(load.Trace(plan(1))))
		Expect(load.Trace(plan(1))).NotTo(Equal(load.Trace(plan(2))))
		Expect(len(load.Trace(plan(1)))).To(BeNumerically("~", 2000, 200))
	})

	It("has the given share of its arrivals in bursts", func() {
		p := plan(1)
		p.Arrivals = load.Arrivals{Rate: 10, Factor: 10, Every: 10 * time.Second, Length: 2 * time.Second}
		in := 0
		trace := load.Trace(p)
		for _, a := range trace {
			if a.At%(10*time.Second) < 2*time.Second {
				in++
			}
		}
		Expect(float64(in) / float64(len(trace))).To(BeNumerically("~", 200.0/280, 0.1))
	})
})

var _ = Describe("distributions", func() {
	DescribeTable("that are malformed or have invalid numbers are rejected", func(text string) {
		_, err := load.ParseDistribution(text)
		Expect(err).To(MatchError(ContainSubstring(text)))
	}, Entry("unknown", "zipf:1"), Entry("too few numbers", "uniform:1"), Entry("no number", "const:x"), Entry("negative", "exp:-1"))
})

var _ = Describe("a spread", func() {
	It("is the median and the range", func() {
		runs := []load.Summary{{Tasks: 3}, {Tasks: 1}, {Tasks: 9}, {Tasks: 5}}
		s := load.SpreadOf(runs, func(s load.Summary) float64 { return float64(s.Tasks) })
		Expect(s).To(Equal(load.Spread{Median: 4, Low: 1, High: 9}))
		var b bytes.Buffer
		load.WriteSpreads(&b, runs)
		Expect(b.String()).To(ContainSubstring("| figure | median (range) |"))
	})
})
