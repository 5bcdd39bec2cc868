package dispatch

import (
	"fmt"
	"sort"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/wire"
)

// delayedTask is a task that was handed back and is to be placed again at the
// time at.
type delayedTask struct {
	at    time.Time
	job   uint64
	index int
	kind  failure.Kind // reason for which it was handed back
}

// placeAll places all tasks of a new job.
func (c *Core) placeAll(now time.Time, r *record) {
	all := make([]int, len(r.job.Tasks))
	for i := range all {
		all[i] = i
	}
	if i, ok := c.placeTasks(now, r, all); !ok {
		c.failJob(now, r, i, failure.NoAgent, "no agent of the pool can take work")
	}
}

// placeTasks chooses an agent for each of the tasks and sends the tasks, those
// for the same agent together. If no agent can take one of them, it sends
// nothing and returns the index of that task and false.
func (c *Core) placeTasks(now time.Time, r *record, indexes []int) (without int, ok bool) {
	byAgent := make(map[string][]int)
	var order []string
	for _, i := range indexes {
		a := c.agents.Pick(r.sub.Pool, r.job.Tasks[i].Tried)
		if a == nil {
			c.releaseAll(byAgent)
			return i, false
		}
		if byAgent[a.ID] == nil {
			order = append(order, a.ID)
		}
		byAgent[a.ID] = append(byAgent[a.ID], i)
	}
	for _, agent := range order {
		c.sendTo(now, r, agent, byAgent[agent])
	}
	return 0, true
}

func (c *Core) releaseAll(byAgent map[string][]int) {
	for agent, indexes := range byAgent {
		c.agents.Release(agent, len(indexes)) // independent of the map's order
	}
}

// sendTo sends tasks that already count as outstanding at the agent. Tasks that
// may still be handed back as busy are sent with a limit on the agent's queue;
// those that have reached the limit of bounces are sent without one.
func (c *Core) sendTo(now time.Time, r *record, agent string, indexes []int) {
	c.count.Placed(len(indexes))
	c.restartSilenceTimer(now, agent, len(indexes))
	var limited, final []int
	for _, i := range indexes {
		if r.job.Tasks[i].Bounces < c.cfg.Bounces {
			limited = append(limited, i)
		} else {
			final = append(final, i)
		}
	}
	limit := uint32(c.agents.EstimatedQueue(agent) + c.cfg.Slack)
	c.sendTasks(now, r, agent, limited, limit)
	c.sendTasks(now, r, agent, final, wire.NoQueueLimit)
}

// maxPlaceBytes is the limit on the payloads in one message, well below the limit on a frame. A
// single larger payload gets a message of its own.
const maxPlaceBytes = 1 << 20

func (c *Core) sendTasks(now time.Time, r *record, agent string, indexes []int, limit uint32) {
	var m *wire.Place
	size := 0
	for _, i := range indexes {
		payload := r.sub.Payloads[i]
		if m == nil || size+len(payload) > maxPlaceBytes {
			m = c.newPlace(now, r, limit)
			size = 0
			c.send(agent, m)
		}
		r.job.Place(i, agent)
		m.Tasks = append(m.Tasks, wire.Task{Index: uint32(i), Attempt: uint32(r.job.Tasks[i].Attempts), Payload: payload})
		size += len(payload)
	}
}

func (c *Core) newPlace(now time.Time, r *record, limit uint32) *wire.Place {
	return &wire.Place{
		Seq:           c.nextSeq(),
		Job:           r.job.Number,
		Submission:    r.sub.ID,
		Workspace:     r.sub.Workspace,
		BudgetMicros:  uint64(max(0, r.sub.Deadline.Sub(now)) / time.Microsecond),
		DeadlineUnix:  r.sub.Deadline.UnixMicro(),
		NotRepeatable: r.sub.NotRepeatable,
		MaxQueue:      limit,
	}
}

// handleNotRun handles a task that an agent certainly did not run. It schedules
// a retry, or returns the failure of the job if the kind is not retryable, the
// attempts are used up or the retry budget is spent. A task that was handed
// back as busy is retried at once and costs neither attempts nor budget.
func (c *Core) handleNotRun(now time.Time, r *record, i int, k failure.Kind, reason string) (e jobFailure, failed bool) {
	if k == failure.Busy {
		r.job.Bounce(i)
		c.delayed = append(c.delayed, delayedTask{now, r.job.Number, i, k})
		return jobFailure{}, false
	}
	r.job.HandBack(i)
	tries := r.job.Tasks[i].Tries()
	switch {
	case !retryable(k):
		return jobFailure{r, i, k, reason}, true
	case tries >= c.cfg.Attempts:
		return jobFailure{r, i, k, fmt.Sprintf("refused %d times, last: %s", tries, reason)}, true
	case !c.budget.Spend():
		return jobFailure{r, i, failure.Overloaded, "the retry budget is spent after " + k.String()}, true
	}
	c.delayed = append(c.delayed, delayedTask{now.Add(c.backoffAfter(tries)), r.job.Number, i, k})
	return jobFailure{}, false
}

// backoffAfter returns the delay before the retry that follows that many tries.
// The first retry is not delayed.
func (c *Core) backoffAfter(tries int) time.Duration {
	if tries <= 1 {
		return 0
	}
	return c.cfg.Backoff.Delay(tries-2, c.rng.Float64())
}

// retryable returns whether another agent may be able to run the task. All
// these kinds mean that the task did not run.
func retryable(k failure.Kind) bool {
	return k == failure.QueueFull || k == failure.Stopping || k == failure.BackendUnreachable
}

// placeDelayed places the handed back tasks whose delay is over, those of the
// same job together.
func (c *Core) placeDelayed(now time.Time) {
	if len(c.delayed) == 0 {
		return
	}
	due := make(map[uint64][]delayedTask)
	var order []uint64
	waiting := c.delayed
	c.delayed = nil
	for _, d := range waiting {
		if now.Before(d.at) {
			c.delayed = append(c.delayed, d)
			continue
		}
		if due[d.job] == nil {
			order = append(order, d.job)
		}
		due[d.job] = append(due[d.job], d)
	}
	for _, n := range order {
		if r := c.jobs[n]; r != nil {
			c.retryTasks(now, r, due[n])
		}
	}
}

func (c *Core) retryTasks(now time.Time, r *record, tasks []delayedTask) {
	indexes := make([]int, len(tasks))
	kinds := make(map[int]failure.Kind, len(tasks))
	for k, d := range tasks {
		indexes[k] = d.index
		kinds[d.index] = d.kind
	}
	if i, ok := c.placeTasks(now, r, indexes); !ok {
		k := kinds[i]
		if k == failure.Busy {
			k = failure.NoAgent
		}
		c.failJob(now, r, i, k, "no other agent of the pool can take the task")
		return
	}
	for _, d := range tasks {
		c.count.Retried(d.kind)
	}
}

// failJob fails a job because of task i, or of no single task when i is
// negative, and cancels its tasks that are still placed; agents give up those
// that have not started.
func (c *Core) failJob(now time.Time, r *record, i int, k failure.Kind, reason string) {
	e := failure.New(k, reason)
	e.RetryAfter = c.retryPauseFor(k)
	r.job.Fail(i, e)
	c.cancelPlaced(r)
	c.endJob(now, r)
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

// endJob removes a job that has its answer and settles its submission.
func (c *Core) endJob(now time.Time, r *record) {
	c.running -= len(r.job.Tasks)
	c.rate.add(len(r.job.Tasks))
	delete(c.jobs, r.job.Number)
	c.settle(now, r, c.checkedAnswer(r))
	r.job = nil
}

// checkedAnswer returns the job's answer after asserting the promises about it.
// In place of an answer that violates one it returns an internal error.
func (c *Core) checkedAnswer(r *record) *job.Answer {
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

// expireJobs fails jobs that have no answer when their deadline and the grace
// for the agents' results after it have passed.
func (c *Core) expireJobs(now time.Time) {
	late := func(r *record) bool { return now.After(r.sub.Deadline.Add(c.cfg.Grace)) }
	for _, n := range sortedKeys(c.jobs, late) {
		c.failJob(now, c.jobs[n], -1, failure.DeadlineWhileRunning, "the deadline passed and not every agent has answered")
	}
}
