package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
)

// watcher is a State call that waits for the end of a job.
type watcher struct {
	call  Call
	asked time.Time // when the call arrived
	until time.Time // when it is answered even if the job has not ended
}

// watch makes a call wait for the end of a job that is not final. If the job has begun it waits
// for Settings.StateWait, but no longer than half of the caller's budget; else it waits only for a
// confirmation of our ownership (see tickWatchers).
func (c *Core) watch(now time.Time, call Call, j *job, budget time.Duration) {
	until := now
	if j.begun() {
		until = now.Add(min(c.cfg.StateWait, budget/2))
	}
	j.watchers = append(j.watchers, watcher{call, now, until})
	c.watched[j] = struct{}{}
}

// tickWatchers answers the watchers that have waited long enough. Another owner may have ended
// the job in the meantime, and callers may have seen that end. So a state that is not final is
// reported only after the store has confirmed our ownership for a time since the call arrived,
// and while our lease is valid, since this process may have been suspended after the
// confirmation. A watcher for which this doesn't come about within Settings.CallLimit is failed.
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

// answerWatchers answers all watchers of a job: with its final state, or with a failure if the
// job is no longer ours.
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
