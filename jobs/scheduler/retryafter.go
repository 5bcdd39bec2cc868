package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
)

// retrySpread is the number of seconds over which the retries of refused calls of class 0 are
// spread; each later class has one more. Callers get retry times in whole seconds.
const retrySpread = 2

// refuse refuses a call for lack of capacity. Its reply asks for a retry after the time by which the
// expected wait in f exceeds the allowed one, at least Settings.RetryAfter, plus some whole seconds.
// These differ from one refused call of a class to the next, so that callers refused together don't
// retry together, and spread less in urgent classes, so that their callers retry first. f is nil if
// there is no forecast.
func (c *Core) refuse(now time.Time, call Call, s *durable.Submission, f *Forecast) {
	c.noteRefusal(now, s.Queue.Name)
	class := c.cfg.Load.class(s.Queue.Priority)
	spread := time.Duration(c.refusedCalls[class]%(retrySpread+class)) * time.Second
	c.refusedCalls[class]++
	c.effects.Refused = append(c.effects.Refused, class)
	delay := c.cfg.RetryAfter
	if f != nil {
		delay = max(delay, f.Wait()-f.Allowed)
	}
	c.failRetryAfter(call, s.ID, failure.Overloaded, delay+spread)
}
