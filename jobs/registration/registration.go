// Package registration makes a coordinator or worker known to the others, by a
// record in the store. It owns nothing, and relies on the store being reached
// some day: it tries until then.
package registration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
)

const (
	// callLimit is how long one try may take. Chosen, not measured.
	callLimit = 2 * time.Second
	// retryPause is the pause after a try that failed. Chosen, not measured.
	retryPause = 300 * time.Millisecond
)

// Keep registers the process, and tries until it is done, ctx ends, or
// superseded says that there is something newer to register.
func Keep(ctx context.Context, s store.Store, m store.Member, superseded func() bool, log *logging.Log) {
	for ctx.Err() == nil && !superseded() {
		call, cancel := context.WithTimeout(ctx, callLimit)
		err := s.Register(call, m)
		cancel()
		if err == nil {
			log.Info("registered", zap.String("address", m.Address))
			return
		}
		log.Warn("register_failed", zap.Error(err))
		loop.Sleep(ctx, retryPause)
	}
}
