package subset_test

import (
	"fmt"
	"testing"

	"github.com/lichenfall/lichenfall/jobs/subset"
)

// BenchmarkChoose measures one choice by one of 184 coordinators among 800 workers.
func BenchmarkChoose(b *testing.B) {
	var coordinators []string
	for i := range 183 {
		coordinators = append(coordinators, fmt.Sprintf("10.1.0.%d:7720", i))
	}
	var workers []subset.Worker
	for i := range 800 {
		workers = append(workers, subset.Worker{Address: fmt.Sprintf("10.2.%d.%d:7720", i/250, i%250), Service: "s"})
	}
	for b.Loop() {
		subset.Choose(subset.Settings{Size: 48, Coverage: 4}, "10.1.0.200:7720", coordinators, workers, nil)
	}
}
