package dispatch

import (
	"fmt"
	"sort"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/wire"
)

// delayed is a task that was handed back and is to be placed again.
type delayed struct {
	at    time.Time
	job   uint64
	index int
	kind  failure.Kind // why it was handed back
}

// placeAll spreads the tasks of a new job.
func (c *Core) placeAll(now time.Time, r *record) {
	all := make([]int, len(r.job.Tasks))
	for i := range all {
		all[i] = i
	}
	if i, ok := c.placeTasks(now, r, all); !ok {
		c.fail(now, r, i, failure.NoAgent, "no agent of the pool can take work")
	}
}

// placeTasks chooses an agent for each of the tasks and sends them, those for
// one agent together. When there is no agent for one of them, nothing is sent,
// and that task is returned.
func (c *Core) placeTasks(now time.Time, r *record, indexes []int) (without int, ok bool) {
	byAgent := make(map[string][]int)
	var order []string
	for _, i := range indexes {
		a := c.agents.Pick(r.sub.Pool, r.job.Tasks[i].Tried)
		if a == nil {
			c.unplace(byAgent)
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

func (c *Core) unplace(byAgent map[string][]int) {
	for agent, indexes := range byAgent {
		c.agents.Release(agent, len(indexes)) // the order does not matter
	}
}

// sendTo sends tasks that are counted as placed at the agent already. Those
// that may still be handed back as busy go with a limit on the agent's queue.
func (c *Core) sendTo(now time.Time, r *record, agent string, indexes []int) {
	c.count.Placed(len(indexes))
	c.awaitWord(now, agent, len(indexes))
	var limited, final []int
	for _, i := range indexes {
		if r.job.Tasks[i].Bounces < c.set.Bounces {
			limited = append(limited, i)
		} else {
			final = append(final, i)
		}
	}
	limit := uint32(c.agents.EstimatedQueue(agent) + c.set.Slack)
	c.sendTasks(now, r, agent, limited, limit)
	c.sendTasks(now, r, agent, final, wire.NoQueueLimit)
}

// maxPlaceBytes bounds the payloads in one message, well under the bound of a frame; a payload
// alone may be larger. In bytes.
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

// handBack deals with a task that an agent certainly did not run: it is tried
// elsewhere while that makes sense, and else the job has to fail.
func (c *Core) handBack(now time.Time, r *record, i int, k failure.Kind, reason string) (e ending, failed bool) {
	if k == failure.Busy {
		r.job.Bounce(i)
		c.later = append(c.later, delayed{now, r.job.Number, i, k})
		return ending{}, false
	}
	r.job.HandBack(i)
	tries := r.job.Tasks[i].Tries()
	switch {
	case !worthRetry(k):
		return ending{r, i, k, reason}, true
	case tries >= c.set.Attempts:
		return ending{r, i, k, fmt.Sprintf("refused %d times, last: %s", tries, reason)}, true
	case !c.budget.Spend():
		return ending{r, i, failure.Overloaded, "the retry budget is spent after " + k.String()}, true
	}
	c.later = append(c.later, delayed{now.Add(c.pauseBefore(tries)), r.job.Number, i, k})
	return ending{}, false
}

// pauseBefore returns the pause after that many tries; none after the first.
func (c *Core) pauseBefore(tries int) time.Duration {
	if tries <= 1 {
		return 0
	}
	return c.set.Backoff.Delay(tries-2, c.rng.Float64())
}

// worthRetry returns whether another agent may do better. The kinds listed
// here are all "not run".
func worthRetry(k failure.Kind) bool {
	return k == failure.QueueFull || k == failure.Stopping || k == failure.BackendUnreachable
}

// placeDue places what was handed back and whose pause is over, the tasks of
// one job together.
func (c *Core) placeDue(now time.Time) {
	if len(c.later) == 0 {
		return
	}
	due := make(map[uint64][]delayed)
	var order []uint64
	waiting := c.later
	c.later = nil
	for _, d := range waiting {
		if now.Before(d.at) {
			c.later = append(c.later, d)
			continue
		}
		if due[d.job] == nil {
			order = append(order, d.job)
		}
		due[d.job] = append(due[d.job], d)
	}
	for _, n := range order {
		if r := c.jobs[n]; r != nil {
			c.placeAgain(now, r, due[n])
		}
	}
}

func (c *Core) placeAgain(now time.Time, r *record, tasks []delayed) {
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
		c.fail(now, r, i, k, "no other agent of the pool can take the task")
		return
	}
	for _, d := range tasks {
		c.count.Retried(d.kind)
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
