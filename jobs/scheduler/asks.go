package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	leastAsked  = 8                     // workers, however little waits: the first of them to have room is soon found
	askedATask  = 2                     // workers for each task that waits
	askAgain    = 50 * time.Millisecond // an ask that stands is repeated so often; it lapses after three times that
	askPace     = 10 * time.Millisecond // least time between two looks at what to ask for
	turnChanges = 10 * time.Millisecond // by how much the first turn has to change for another ask
	leaveAlone  = 50 * time.Millisecond // for how long a worker is not asked whose room we cannot use though it suits
)

// ask is what a worker was asked for over its present connection.
type ask struct {
	seq     uint64              // of the newest RoomAsk
	stands  bool                // it names something that waits
	at      time.Time           // when it was sent
	first   time.Time           // the first turn that it names
	needs   []durable.Resources // of the first tasks that it names
	told    bool                // a status since tells of room for one of them
	aloneTo time.Time           // the worker is not asked before
}

// suits returns whether the room would do for what was asked for.
func (a *ask) suits(free durable.Resources) bool {
	return a.stands && slices.ContainsFunc(a.needs, func(need durable.Resources) bool { return need.Fits(free) })
}

// asks is what is asked for the tasks of one service.
type asks struct {
	workers []*worker // that were sent an ask that stands, and may be down since
	told    []*worker // those of them that have told of room since the last dispatch
	at      time.Time // when they were last looked over
}

func (c *Core) asksOf(service string) *asks {
	a := c.asks[service]
	if a == nil {
		a = &asks{}
		c.asks[service] = a
	}
	return a
}

// hearRoom notes what a status means for what the worker was asked for.
func (c *Core) hearRoom(w *worker, newLife bool) {
	if newLife {
		w.ask.stands, w.ask.told = false, false
	}
	if w.ask.told || !w.ask.suits(w.status.Free) {
		return
	}
	w.ask.told = true
	a := c.asksOf(w.identity.Service)
	a.told = append(a.told, w)
}

// askForRoom asks workers for room for what dispatch has left of a service's tasks, and
// takes back what was asked for once nothing is left.
func (c *Core) askForRoom(now time.Time, service string, q *readyQueue, orders map[*worker]*wire.StartRuns) {
	a := c.asksOf(service)
	unused := c.settleTold(a, orders)
	if q.Len() == 0 {
		c.withdrawAll(now, a)
		return
	}
	if len(unused) == 0 && now.Sub(a.at) < askPace {
		return
	}
	waits := c.waitsOf(q)
	for _, w := range unused {
		c.passOn(now, w, waits)
	}
	if now.Sub(a.at) < askPace {
		return
	}
	a.at = now
	c.chooseAsked(now, a, service, waits)
	n := 0
	for _, w := range a.workers {
		if w.ask.isDue(now, w.waitsFor(waits)) {
			c.sendAsk(now, w, waits, len(a.workers))
			n++
		}
	}
	if n > 0 {
		c.note(Note{What: RoomAsked, Measure: WorkersAsked, Value: int64(n), Frequent: true})
	}
}

// settleTold returns the workers that told of room which dispatch has not used. An order
// says by its Seen that the rest is not wanted.
func (c *Core) settleTold(a *asks, orders map[*worker]*wire.StartRuns) (unused []*worker) {
	for _, w := range a.told {
		if !w.ask.told {
			continue // its connection is new since
		}
		w.ask.told = false
		n := Note{What: RoomUsed, Worker: w.name, Frequent: true}
		if orders[w] == nil {
			n.What = RoomUnused
			unused = append(unused, w)
		}
		c.note(n)
	}
	a.told = a.told[:0]
	return unused
}

// passOn lets a worker know at once that the room that it told of is not used. If it would suit what
// waits, something here bars it: to ask again would bring the same room again.
func (c *Core) passOn(now time.Time, w *worker, waits []wait) {
	if !w.up {
		return
	}
	free := w.free()
	mine := w.waitsFor(waits)
	if slices.ContainsFunc(mine, func(k wait) bool { return k.first.step.Need.Fits(free) }) {
		w.ask.aloneTo = now.Add(leaveAlone)
		mine = nil
	}
	c.sendAsk(now, w, mine, len(c.asksOf(w.identity.Service).workers))
}

// withdrawAll takes back all that stands.
func (c *Core) withdrawAll(now time.Time, a *asks) {
	n := 0
	for _, w := range a.workers {
		if w.up && w.ask.stands {
			c.sendAsk(now, w, nil, 1)
			n++
		}
	}
	if n > 0 {
		c.note(Note{What: RoomWithdrawn, Measure: WorkersAsked, Value: int64(n), Frequent: true})
	}
	a.workers = a.workers[:0]
	a.at = time.Time{}
}

// chooseAsked settles which workers are asked: those that are asked already as long as they
// take tasks, then preferred ones, then others by chance.
func (c *Core) chooseAsked(now time.Time, a *asks, service string, waits []wait) {
	kept := a.workers[:0]
	for _, w := range a.workers {
		switch {
		case c.mayAsk(now, w, service, waits):
			kept = append(kept, w)
		case w.up && w.ask.stands:
			c.sendAsk(now, w, nil, 1)
		}
	}
	a.workers = kept
	wanted := max(leastAsked, askedATask*tasksOf(waits))
	if more := wanted - len(a.workers); more > 0 {
		a.workers = append(a.workers, c.othersToAsk(now, a, service, waits, more)...)
	}
}

// othersToAsk returns up to n workers that may be asked and are not.
func (c *Core) othersToAsk(now time.Time, a *asks, service string, waits []wait, n int) []*worker {
	var preferred, others []*worker
	for _, w := range c.eligible {
		switch {
		case slices.Contains(a.workers, w) || !c.mayAsk(now, w, service, waits):
		case w.preference == Preferred:
			preferred = append(preferred, w)
		default:
			others = append(others, w)
		}
	}
	c.random.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	out := append(preferred, others...)
	return out[:min(n, len(out))]
}

// mayAsk returns whether the worker takes tasks, and some of what waits may go there.
func (c *Core) mayAsk(now time.Time, w *worker, service string, waits []wait) bool {
	return c.takesTasks(now, w) && w.identity.Service == service && !c.Evacuated(w.dataCentre) && w.preference != Excluded &&
		!now.Before(w.ask.aloneTo) && !c.ejected(now, w) && len(w.waitsFor(waits)) > 0
}

// isDue returns whether the worker is to be sent another ask.
func (a *ask) isDue(now time.Time, waits []wait) bool {
	if !a.stands || now.Sub(a.at) >= askAgain {
		return true
	}
	change := firstTurn(waits).Sub(a.first)
	return change.Abs() > turnChanges && now.Sub(a.at) >= askPace
}

// sendAsk replaces what the worker was asked for by what waits, of which it is one of so many
// that are asked.
func (c *Core) sendAsk(now time.Time, w *worker, waits []wait, asked int) {
	mine := w.waitsFor(waits)
	w.ask.seq++
	w.ask.at = now
	w.ask.stands = len(mine) > 0
	w.ask.first = firstTurn(mine)
	w.ask.needs = w.ask.needs[:0]
	m := &wire.RoomAsk{Seq: w.ask.seq, Seen: w.status.Stamp}
	for i := range mine {
		w.ask.needs = append(w.ask.needs, mine[i].first.step.Need)
		m.Waits = append(m.Waits, mine[i].message(now, asked))
	}
	c.send(w.name, m)
}

// wait is what waits of one priority, of the tasks that ask for the same.
type wait struct {
	waitKey
	first    *task
	from, to time.Time // turns of the first and the last task
	tasks    uint32
	work     float64 // thousandths of a core times nanoseconds
}

// waitKey is what the tasks of a wait have in common. Those of jobs that have begun stand
// apart: their turns are far from the others'.
type waitKey struct {
	priority int32
	requires string // label
	begun    bool
}

// waitsOf returns what of the queue could be ordered with more room, first come first:
// overdue tasks while no others are left, as in dispatch.
func (c *Core) waitsOf(q *readyQueue) []wait {
	if waits := c.waitsOfHeap(&q.onTime, (*task).turnOnTime); len(waits) > 0 {
		return waits
	}
	return c.waitsOfHeap(&q.overdue, (*task).turnOverdue)
}

func (c *Core) waitsOfHeap(q *taskHeap, turnOf func(*task) time.Time) []wait {
	at := make(map[waitKey]int)
	var out []wait
	for _, t := range q.tasks {
		if _, ok := c.epochOf(t.job); !ok {
			continue
		}
		key := waitKey{t.job.sub.Queue.Priority, t.step.Requires, t.job.begun()}
		i, known := at[key]
		if !known {
			i = len(out)
			at[key] = i
			out = append(out, wait{waitKey: key})
		}
		out[i].add(t, turnOf(t))
	}
	slices.SortFunc(out, func(a, b wait) int { return a.from.Compare(b.from) })
	return out
}

func (k *wait) add(t *task, turn time.Time) {
	if k.first == nil || turn.Before(k.from) {
		k.first, k.from = t, turn
	}
	if k.tasks == 0 || turn.After(k.to) {
		k.to = turn
	}
	k.tasks++
	k.work += float64(t.step.Need.CPU) * float64(t.step.Estimate())
}

// farOff sets the turns of jobs that have begun before all others, and those of overdue
// tasks after them: it is more than any task waits.
const farOff = 20 * time.Minute

// turnOnTime returns the turn of a task that is on time as workers are told of it.
func (t *task) turnOnTime() time.Time {
	if t.job.begun() {
		return t.job.received.Add(-farOff)
	}
	return t.turn()
}

// turnOverdue returns the same of an overdue one: the order is that of overdueBefore.
func (t *task) turnOverdue() time.Time {
	if t.job.begun() {
		return t.due.Add(farOff)
	}
	return t.due.Add(2 * farOff)
}

// waitsFor returns those of the waits whose first task may go to the worker when it has
// room.
func (w *worker) waitsFor(waits []wait) []wait {
	may := func(k wait) bool { return k.first.step.Need.Fits(w.identity.Capacity) && allowed(k.first, w) }
	if !slices.ContainsFunc(waits, func(k wait) bool { return !may(k) }) {
		return waits
	}
	var out []wait
	for _, k := range waits {
		if may(k) {
			out = append(out, k)
		}
	}
	return out
}

// message returns the wait as one of so many workers is told of it.
func (k *wait) message(now time.Time, asked int) wire.RoomWait {
	return wire.RoomWait{
		WaitingWork: wire.WaitingWork{
			Priority: k.priority,
			FirstMS:  k.from.Sub(now).Milliseconds(),
			LastMS:   k.to.Sub(now).Milliseconds(),
			Work:     int64(math.Ceil(k.work / float64(time.Millisecond) / float64(max(1, asked)))),
		},
		Need:  k.first.step.Need,
		Tasks: k.tasks,
	}
}

// firstTurn returns the turn of the first of the waits, which are in their order; zero if
// there are none.
func firstTurn(waits []wait) time.Time {
	if len(waits) == 0 {
		return time.Time{}
	}
	return waits[0].from
}

func tasksOf(waits []wait) int {
	n := 0
	for i := range waits {
		n += int(waits[i].tasks)
	}
	return n
}
