package dispatch

import (
	"fmt"
	"sort"
	"time"

	"github.com/lichenfall/lichenfall/failure"
	"github.com/lichenfall/lichenfall/job"
	"github.com/lichenfall/lichenfall/wire"
)

// delayed is a task that waits for its next attempt.
type delayed struct {
	at    time.Time
	job   uint64
	index int
	kind  failure.Kind // why it was handed back
}

// placeAll spreads the tasks of a new job, one message for each agent.
func (c *Core) placeAll(now time.Time, r *record) {
	byAgent := make(map[string][]int)
	var order []string
	for i := range r.job.Tasks {
		a := c.agents.Pick(r.sub.Pool, nil)
		if a == nil {
			c.unplace(r, byAgent)
			c.fail(now, r, i, failure.NoAgent, "no agent of the pool can take work")
			return
		}
		if byAgent[a.ID] == nil {
			order = append(order, a.ID)
		}
		byAgent[a.ID] = append(byAgent[a.ID], i)
	}
	for _, agent := range order {
		c.sendTasks(now, r, agent, byAgent[agent])
	}
}

func (c *Core) unplace(r *record, byAgent map[string][]int) {
	for agent, indexes := range byAgent {
		c.agents.Return(agent, len(indexes)) // the order does not matter
	}
}

// maxPlaceBytes bounds the payloads in one message, well under the bound of a
// frame; a payload alone may be larger.
const maxPlaceBytes = 1 << 20

// sendTasks sends tasks that are counted as placed at the agent already.
func (c *Core) sendTasks(now time.Time, r *record, agent string, indexes []int) {
	c.count.Placed(len(indexes))
	c.awaitWord(now, agent, len(indexes))
	var m *wire.Place
	size := 0
	for _, i := range indexes {
		payload := r.sub.Payloads[i]
		if m == nil || size+len(payload) > maxPlaceBytes {
			m = c.newPlace(now, r, agent)
			size = 0
			c.send(agent, m)
		}
		r.job.Place(i, agent)
		m.Tasks = append(m.Tasks, wire.Task{Index: uint32(i), Attempt: uint32(r.job.Tasks[i].Attempts), Payload: payload})
		size += len(payload)
	}
}

func (c *Core) newPlace(now time.Time, r *record, agent string) *wire.Place {
	return &wire.Place{
		Seq:           c.nextSeq(),
		Job:           r.job.Number,
		Submission:    r.sub.ID,
		Team:          r.sub.Team,
		BudgetMicros:  uint64(max(0, r.sub.Deadline.Sub(now)) / time.Microsecond),
		DeadlineUnix:  r.sub.Deadline.UnixMicro(),
		NotRepeatable: r.sub.NotRepeatable,
	}
}

// handBack deals with a task that an agent certainly did not run: it is tried
// elsewhere while that makes sense, and else the job has to fail.
func (c *Core) handBack(now time.Time, r *record, i int, k failure.Kind, reason string) (e ending, failed bool) {
	r.job.HandBack(i)
	t := &r.job.Tasks[i]
	switch {
	case !worthRetry(k):
		return ending{r, i, k, reason}, true
	case t.Attempts >= c.set.Attempts:
		return ending{r, i, k, fmt.Sprintf("refused %d times, last: %s", t.Attempts, reason)}, true
	case !c.budget.Spend():
		return ending{r, i, failure.Overloaded, "the retry budget is spent after " + k.String()}, true
	case t.Attempts > 1:
		pause := c.set.Backoff.Delay(t.Attempts-2, c.rng.Float64())
		c.later = append(c.later, delayed{now.Add(pause), r.job.Number, i, k})
		return ending{}, false
	}
	return c.placeAgain(now, r, i, k)
}

// worthRetry returns whether another agent may do better. The kinds listed
// here are all "not run".
func worthRetry(k failure.Kind) bool {
	return k == failure.QueueFull || k == failure.Stopping || k == failure.BackendUnreachable
}

// placeAgain tries a task at an agent that has not refused it; k is why it was
// handed back.
func (c *Core) placeAgain(now time.Time, r *record, i int, k failure.Kind) (e ending, failed bool) {
	a := c.agents.Pick(r.sub.Pool, r.job.Tasks[i].Tried)
	if a == nil {
		return ending{r, i, k, "no other agent of the pool can take the task"}, true
	}
	c.count.Retried(k)
	c.sendTasks(now, r, a.ID, []int{i})
	return ending{}, false
}

func (c *Core) placeDelayed(now time.Time) {
	waiting := c.later
	c.later = nil
	for _, d := range waiting {
		if now.Before(d.at) {
			c.later = append(c.later, d)
			continue
		}
		r := c.jobs[d.job]
		if r == nil {
			continue
		}
		if e, failed := c.placeAgain(now, r, d.index, d.kind); failed {
			c.fail(now, r, e.task, e.kind, e.reason)
		}
	}
}

// fail ends a job because of task i, or of none in particular when i is
// negative, and cancels what has not started.
func (c *Core) fail(now time.Time, r *record, i int, k failure.Kind, reason string) {
	e := failure.New(k, reason)
	e.RetryAfter = c.pauseFor(k)
	r.job.Fail(i, e)
	c.cancelPlaced(r)
	c.end(now, r)
}

func (c *Core) cancelPlaced(r *record) {
	byAgent := make(map[string][]uint32)
	for i := range r.job.Tasks {
		if agent := r.job.PlacedAt(i); agent != "" {
			byAgent[agent] = append(byAgent[agent], uint32(i))
		}
	}
	agents := make([]string, 0, len(byAgent))
	for agent := range byAgent {
		agents = append(agents, agent)
	}
	sort.Strings(agents)
	for _, agent := range agents {
		if c.reachable(agent) {
			c.send(agent, &wire.Cancel{Job: r.job.Number, Indexes: byAgent[agent]})
		}
	}
}

// end settles a job that has its answer.
func (c *Core) end(now time.Time, r *record) {
	c.running -= len(r.job.Tasks)
	c.rate.add(len(r.job.Tasks))
	delete(c.jobs, r.job.Number)
	c.settle(now, r, c.checked(r))
	r.job = nil
}

// checked asserts what every answer must hold. An answer that does not hold it
// is not given.
func (c *Core) checked(r *record) *job.Answer {
	a := r.job.Answer()
	broken := ""
	switch {
	case a.Submission != r.sub.ID:
		broken = promiseOwnAnswer
	case a.Error == nil && len(a.Results) != len(r.job.Tasks), a.Error != nil && a.Results != nil:
		broken = promiseWholeAnswer
	case a.Error != nil && a.Error.Ran == failure.NotRun.String() && r.job.AnyStarted():
		broken = promiseNotRun
	}
	if broken == "" {
		return a
	}
	c.count.Violated(broken)
	return refusal(r, failure.Internal, "a promise of the program is broken: "+broken, failure.RanUnknown, 0)
}

// expireJobs fails jobs whose deadline has passed without a word of the agents.
func (c *Core) expireJobs(now time.Time) {
	late := func(r *record) bool { return now.After(r.sub.Deadline.Add(c.set.Grace)) }
	for _, n := range matching(c.jobs, late) {
		c.fail(now, c.jobs[n], -1, failure.DeadlineWhileRunning, "the deadline passed and not every agent has answered")
	}
}
