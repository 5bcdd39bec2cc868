package commands

import (
	"errors"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/metrics"
)

// TestFaultsAreLogged reports faults of the platform's adapter among many sampled log lines
// below the log's level. It guards against faults that the sampling of those lines, or of
// another fault, suppresses: each kind of fault is logged, and the lines of a frequent one
// are limited.
func TestFaultsAreLogged(t *testing.T) {
	core, lines := observer.New(zapcore.WarnLevel)
	log := &logging.Log{Logger: zap.New(core)}
	d := &jobDaemon{log: log, metrics: metrics.NewJobs(tally.NoopScope, nil, scheduler.Classes)}
	const many = 10_000
	for range many {
		log.Sampled(time.Now(), "run_ordered")
		d.reportFault("backend_row_skipped", errors.New("malformed"))
	}
	d.reportFault("store_unread", errors.New("refused"))
	if n := lines.FilterMessage("store_unread").Len(); n != 1 {
		t.Errorf("%d lines of the store, 1 wanted", n)
	}
	if n := lines.FilterMessage("backend_row_skipped").Len(); n == 0 || n >= many/10 {
		t.Errorf("%d lines of %d skipped rows", n, many)
	}
}
