package scheduler_test

import (
	"testing"
	"time"
)

// BenchmarkOverloadSecond plays the burst of TestOverload; the figure is for one second of
// it at one coordinator with ten workers, who send some 900 statuses.
func BenchmarkOverloadSecond(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		newLoad(1, desk(deskKinds(0))).play()
	}
	const seconds = (loadLength + 2*time.Second) / time.Second
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(seconds)/1e6, "ms/second")
}
