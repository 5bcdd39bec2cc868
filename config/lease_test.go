package config_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/config"
)

var _ = Describe("the lease requested from a backend server", func() {
	DescribeTable("ends the runs of a silent worker before callers give up, however long the granted lease", func(granted time.Duration) {
		runs, scheduler := config.DefaultRuns(), config.DefaultScheduler()
		runs.BackendLease, scheduler.BackendLease = config.Duration(granted), config.Duration(granted)
		core := runs.Core("dc")
		Expect(core.BackendLease).To(BeNumerically("<=", time.Second))
		Expect(core.MaxBackendLease).To(Equal(granted))
		writtenOff := scheduler.Core("dc").BestEffortWriteOff
		Expect(writtenOff).To(BeNumerically(">=", core.BestEffortLease+core.StopGrace+core.BackendLease), "otherwise a task could run twice")
		Expect(writtenOff).To(BeNumerically("<=", 2500*time.Millisecond))
	},
		Entry("half a second", 500*time.Millisecond),
		Entry("a second", time.Second),
		Entry("fifteen", 15*time.Second),
	)
})
