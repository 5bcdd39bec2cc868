package scheduler_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOverloadSecond simulates the load of TestOverload. The metric is the time for one second of
// it, at one coordinator with ten workers that send some 900 statuses.
func BenchmarkOverloadSecond(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		newLoadSim(1, desk(deskKinds(0))).run()
	}
	const seconds = (loadLength + 2*time.Second) / time.Second
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(seconds)/1e6, "ms/second")
}

// BenchmarkAlternatives simulates the overload of TestUnevenCallers with the alternatives of design 0012:
// capacity requests, a race of orders, and a race after which a coordinator that lost leaves the worker
// alone for a while. The metrics are shares.
func BenchmarkAlternatives(b *testing.B) {
	for _, coordinators := range []int{4, 12} {
		for _, way := range []string{"asks", "race", "back_off"} {
			b.Run(fmt.Sprintf("%d/%s", coordinators, way), func(b *testing.B) {
				set := sharedDesk(coordinators)
				set.seeds = 4
				set.sharers = float64(coordinators)
				set.policy.AskForRoom = way == "asks"
				set.backOff = way == "back_off"
				for b.Loop() {
					r := simulateLoads(set)
					b.ReportMetric(r.over.handedBackShare(), "handed_back")
					b.ReportMetric(unevenness(r.cores), "worst/best")
					for i := range r.kinds {
						b.ReportMetric(r.kinds[i].share(), set.kinds[i].name)
					}
				}
			})
		}
	}
}
