package scheduler

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
)

// submitBestEffort accepts or refuses a best-effort job, which is not stored. The job is cancelled when
// no caller waits for its end any more. A resent call joins the callers of the job.
// A job that is unclaimed waits for Claimed before its tasks are ordered.
func (c *Core) submitBestEffort(now time.Time, call Call, s *durable.Submission, budget time.Duration, unclaimed bool) {
	if j := c.bestEffort[s.ID]; j != nil {
		if !j.sub.SameContent(s) {
			c.fail(call, s.ID, failure.SubmissionMismatch)
			return
		}
		j.calls = append(j.calls, call)
		c.note(Note{What: CopyJoined, Job: s.ID, Measure: JobAgeMS, Value: j.age(now)})
		return
	}
	if c.atJobLimit() {
		c.note(Note{What: JobRefused, Job: s.ID, Reason: reasonTooManyJobs})
		c.refuse(now, call, s, nil)
		return
	}
	j := c.newJob(s, now)
	if c.restoreCrashes(now, j) {
		c.note(Note{What: Decision(jobPrefix + durable.Failed.String()), Job: s.ID, Reason: reasonCrashes})
		c.reply(Reply{Call: call, ID: s.ID, State: durable.Failed})
		return
	}
	c.noteOffered(now, j)
	if f, why := c.admit(now, j); why != "" {
		c.note(Note{What: JobRefused, Job: s.ID, Reason: why, Measure: WaitMS, Value: f.Wait().Milliseconds(), Limit: f.Allowed.Milliseconds(), Forecast: &f})
		c.refuse(now, call, s, &f)
		return
	}
	c.noteAdmitted(now, j)
	j.accepted = true
	j.startBy = now.Add(startTimeout(j, now, budget))
	j.calls = append(j.calls, call)
	c.bestEffort[s.ID] = j
	if unclaimed {
		c.unclaimed[s.ID] = j
	}
	c.active++
	c.readyTasks(now, j)
}

// Abandon records that a caller no longer waits for the job. A best-effort job without callers
// is cancelled.
func (c *Core) Abandon(now time.Time, call Call, id durable.JobID) {
	delete(c.callers, call)
	j := c.bestEffort[id]
	if j == nil {
		return
	}
	j.calls = slices.DeleteFunc(j.calls, func(waiting Call) bool { return waiting == call })
	if len(j.calls) == 0 {
		c.finish(now, j, durable.Cancelled, "caller_left")
	}
}

// CancelBestEffort cancels a best-effort job that is here, and answers its callers.
func (c *Core) CancelBestEffort(now time.Time, call Call, id durable.JobID) {
	j := c.bestEffort[id]
	if j == nil {
		c.fail(call, id, failure.JobNotFound)
		return
	}
	c.finish(now, j, durable.Cancelled, "cancelled")
	c.reply(Reply{Call: call, ID: id, State: durable.Cancelled})
}

// SetEarliestSent records that the caller may have sent the best-effort job as early as the
// given time. The earliest such time is kept.
func (c *Core) SetEarliestSent(id durable.JobID, earliest time.Time) {
	if j := c.bestEffort[id]; j != nil && earliest.Before(j.sent) {
		j.sent = earliest
	}
}

// GiveUpUnannounced ends a best-effort job that could not be announced to the other coordinators in
// time, since another of them may run the job for a resent call. A job that has not begun is refused;
// the callers of one that has get the error that its outcome is unknown.
func (c *Core) GiveUpUnannounced(now time.Time, id durable.JobID) {
	j := c.bestEffort[id]
	if j == nil {
		return
	}
	if !j.begun() {
		c.refuseUnstarted(now, j, reasonUntold, nil)
		return
	}
	for _, call := range j.calls {
		c.fail(call, id, failure.CommitUnknown)
	}
	j.calls = nil
	c.finish(now, j, durable.Cancelled, reasonUntold)
}

// BestEffortOlderThan returns the IDs of the best-effort jobs that may have been sent at least age ago,
// sorted. It includes jobs that have ended while they have outstanding runs.
func (c *Core) BestEffortOlderThan(now time.Time, age time.Duration) []durable.JobID {
	var out []durable.JobID
	for id, j := range c.bestEffort {
		if now.Sub(j.sent) >= age {
			out = append(out, id)
		}
	}
	for id, e := range c.outstanding {
		if c.bestEffort[id] == nil && now.Sub(e.sent) >= age {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// HasBestEffort returns whether this coordinator has the best-effort job and it has not ended.
func (c *Core) HasBestEffort(id durable.JobID) bool { return c.bestEffort[id] != nil }

// answerBestEffort replies to the callers of a best-effort job that has ended, and removes the job. A job
// that ended late does not count as admitted work.
func (c *Core) answerBestEffort(now time.Time, j *job) {
	if now.After(j.due) {
		c.retractAdmitted(now, j)
	}
	for _, call := range j.calls {
		c.reply(Reply{Call: call, ID: j.id, State: j.state})
	}
	delete(c.bestEffort, j.id)
	delete(c.unclaimed, j.id)
}
