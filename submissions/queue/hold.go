package queue

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// Answers of one job that end here within a short time go out together: the
// entry can answer nobody before it has them all.

type jobKey struct {
	link Link
	job  uint64
}

// jobState is what is kept for each job that has tasks or answers here.
type jobState struct {
	open  int           // its tasks, queued or running
	held  []wire.Result // its answers that wait for the others
	since time.Time     // when the first of them came
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

// answer sends the result of a task that ran, at once when it failed or was the
// last one of its job here, else within Hold.
func (q *Queue) answer(now time.Time, t *Task, r wire.Result) {
	s := q.job(t)
	if len(s.held) == 0 {
		s.since = now
		q.holding = append(q.holding, jobKey{t.Link, t.Job})
	}
	s.held = append(s.held, r)
	if failure.Kind(r.Kind) != failure.None || s.open == 0 {
		s.since = now.Add(-q.limits.Hold)
	}
}

// sendHeld sends the answers that need not wait any longer.
func (q *Queue) sendHeld(now time.Time) {
	q.holding = slices.DeleteFunc(q.holding, func(k jobKey) bool {
		s := q.jobs[k]
		if s == nil || now.Sub(s.since) < q.limits.Hold {
			return s == nil
		}
		for _, r := range s.held {
			q.send(k.link, r)
		}
		s.held = nil
		if s.open == 0 {
			delete(q.jobs, k)
		}
		return true
	})
}

// closeTask notes that a task of the job is no longer queued or running.
func (q *Queue) closeTask(t *Task) {
	s := q.job(t)
	s.open--
	if s.open == 0 && len(s.held) == 0 {
		delete(q.jobs, jobKey{t.Link, t.Job})
	}
}
