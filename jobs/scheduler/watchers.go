package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// watcher is a caller who waits for the end of a job.
type watcher struct {
	call  Call
	asked time.Time
	until time.Time
}

// watch has a caller wait for the end of a job that is not final.
func (c *Core) watch(now time.Time, call Call, j *job, budget time.Duration) {
	until := now
	if j.begun() {
		until = now.Add(min(c.cfg.StateWait, budget/2))
	}
	j.watchers = append(j.watchers, watcher{call, now, until})
	c.watched[j] = struct{}{}
}

// tickWatchers answers those who have waited for a job's end long enough. Another
// owner may have brought the job to its end, which callers may have seen; so that it
// has none is said only once Confirmed, and while our lease lasts: a process that stood still
// after the confirmation would say it later. For want of that it is not said at all.
func (c *Core) tickWatchers(now time.Time) {
	for _, j := range ordered.KeysFunc(c.watched, byID) {
		left := j.watchers[:0]
		for _, w := range j.watchers {
			switch {
			case !now.Before(w.until) && !c.confirmedAt.Before(w.asked) && c.Owns(j.id):
				c.reply(Reply{Call: w.call, ID: j.id, State: j.visibleState()})
			case now.Sub(w.asked) >= c.cfg.CallLimit:
				c.fail(w.call, j.id, failure.NoOwner)
			default:
				left = append(left, w)
			}
		}
		j.watchers = left
		if len(left) == 0 {
			delete(c.watched, j)
		}
	}
}

// answerWatchers tells all who wait for the end of the job, or that it is no longer
// ours.
func (c *Core) answerWatchers(j *job) {
	for _, w := range j.watchers {
		if j.stored.Final() {
			c.reply(Reply{Call: w.call, ID: j.id, State: j.stored})
		} else {
			c.fail(w.call, j.id, failure.NoOwner)
		}
	}
	j.watchers = nil
	delete(c.watched, j)
}
