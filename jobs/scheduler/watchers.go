package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
)

// watcher is a caller who waits for the end of a job.
type watcher struct {
	call  Call
	until time.Time
}

// tickWatchers answers those who have waited for a job's end long enough.
func (c *Core) tickWatchers(now time.Time) {
	for _, j := range ordered.KeysFunc(c.watched, byID) {
		left := j.watchers[:0]
		for _, w := range j.watchers {
			if now.Before(w.until) {
				left = append(left, w)
				continue
			}
			c.reply(Reply{Call: w.call, ID: j.id, State: j.shown()})
		}
		j.watchers = left
		if len(left) == 0 {
			delete(c.watched, j)
		}
	}
}

// answerWatchers tells all who wait for the end of the job.
func (c *Core) answerWatchers(j *job) {
	for _, w := range j.watchers {
		c.reply(Reply{Call: w.call, ID: j.id, State: j.shown()})
	}
	j.watchers = nil
	delete(c.watched, j)
}
