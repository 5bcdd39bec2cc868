package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
)

// question is a call about a job that is not here. Another coordinator may own the
// partition by now and have kept the job, which our lease does not tell: so "there is
// no such job" waits until the store has confirmed that the partition was still ours
// after the call came.
type question struct {
	call  Call
	id    durable.JobID
	asked time.Time
	again func(now time.Time, call Call, id durable.JobID) // asks once more
}

// ask makes a call wait for Confirmed. One that waits too long is answered by
// tickCallers.
func (c *Core) ask(now time.Time, call Call, id durable.JobID, again func(time.Time, Call, durable.JobID)) {
	c.callers[call] = waitingCall{id, now}
	c.questions = append(c.questions, question{call: call, id: id, asked: now, again: again})
}

// Confirmed tells the core that the store has answered a join that was sent at the
// time given: what it lists as ours was ours then. Partitions that it no longer lists
// have been released before.
func (c *Core) Confirmed(now, sent time.Time) {
	c.confirmedAt = sent
	for _, w := range c.order {
		if !w.confirmed && len(c.partitions) > 0 && !sent.Before(w.upAt) {
			c.heartbeat(now, w)
		}
	}
	waiting := c.questions
	c.questions = nil
	for _, q := range waiting {
		switch _, waits := c.callers[q.call]; {
		case !waits:
		case q.asked.After(sent):
			c.questions = append(c.questions, q)
		default:
			c.answerQuestion(now, q)
		}
	}
}

// answerQuestion answers a call about a job of which it is now known whether it is
// here.
func (c *Core) answerQuestion(now time.Time, q question) {
	p := c.owned(q.id)
	switch {
	case p == nil:
		c.fail(q.call, q.id, failure.NoOwner)
	case p.jobs[q.id] == nil:
		c.fail(q.call, q.id, failure.JobNotFound)
	default:
		q.again(now, q.call, q.id)
	}
}

// refuseQuestions answers the calls about jobs of a partition that is no longer ours.
func (c *Core) refuseQuestions(partition uint32) {
	waiting := c.questions
	c.questions = nil
	for _, q := range waiting {
		if q.id.Partition(c.cfg.Partitions) != partition {
			c.questions = append(c.questions, q)
			continue
		}
		if _, waits := c.callers[q.call]; waits {
			c.fail(q.call, q.id, failure.NoOwner)
		}
	}
}
