package queue

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// Results of the same job that arrive within Limits.Hold are sent together: the
// entry cannot answer the caller before it has all of them anyway.

type jobKey struct {
	link Link
	job  uint64
}

// jobState is the state of a job that has tasks or held results at this agent.
type jobState struct {
	unfinished int           // number of its tasks that are queued or running
	held       []wire.Result // results that wait for those of its other tasks
	heldSince  time.Time     // when the first of them was held
}

func (q *Queue) job(t *Task) *jobState {
	k := jobKey{t.Link, t.Job}
	s := q.jobs[k]
	if s == nil {
		s = &jobState{}
		q.jobs[k] = s
	}
	return s
}

// holdResult holds the result of a started task for up to Hold. If the task
// failed or was the last one of its job here, the job's held results are sent
// by the next Take.
func (q *Queue) holdResult(now time.Time, t *Task, r wire.Result) {
	s := q.job(t)
	if len(s.held) == 0 {
		s.heldSince = now
		q.heldJobs = append(q.heldJobs, jobKey{t.Link, t.Job})
	}
	s.held = append(s.held, r)
	if failure.Kind(r.Kind) != failure.None || s.unfinished == 0 {
		s.heldSince = now.Add(-q.limits.Hold)
	}
}

// sendHeldResults sends the results whose hold time is over.
func (q *Queue) sendHeldResults(now time.Time) {
	q.heldJobs = slices.DeleteFunc(q.heldJobs, func(k jobKey) bool {
		s := q.jobs[k]
		if s == nil || now.Sub(s.heldSince) < q.limits.Hold {
			return s == nil
		}
		for _, r := range s.held {
			q.send(k.link, r)
		}
		s.held = nil
		if s.unfinished == 0 {
			delete(q.jobs, k)
		}
		return true
	})
}

// taskEnded records that a task of the job is no longer queued or running.
func (q *Queue) taskEnded(t *Task) {
	s := q.job(t)
	s.unfinished--
	if s.unfinished == 0 && len(s.held) == 0 {
		delete(q.jobs, jobKey{t.Link, t.Job})
	}
}
