package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
)

// waves is over how many seconds the refused of the first class are told to come back; of each
// later class over one more. Callers hear of whole seconds.
const waves = 2

// refuse refuses a call for want of room, and says when to come back: when it would have waited
// no longer than it may, and then by turns in one second or the next, so that those who were
// refused together do not come back together, and the urgent ones are first.
func (c *Core) refuse(now time.Time, call Call, s *durable.Submission, f *Forecast) {
	c.noteRefusal(now, s.Queue.Name)
	class := c.cfg.Load.class(s.Queue.Priority)
	later := time.Duration(c.returns[class]%(waves+class)) * time.Second
	c.returns[class]++
	c.effects.Refused = append(c.effects.Refused, class)
	better := c.cfg.RetryAfter
	if f != nil {
		better = max(better, f.Wait()-f.Allowed)
	}
	c.failUntil(call, s.ID, failure.Overloaded, better+later)
}
