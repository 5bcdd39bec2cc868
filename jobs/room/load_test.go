package room_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

const (
	second  = 1000 // in the milliseconds of a load
	slack   = 100  // of a task, from its coming to its turn
	runTime = 60   // of a task of one core
	size    = 30   // of the server, in cores: 500 such tasks a second
	askEach = 40   // between two asks of a coordinator
)

// caller is a coordinator of a load.
type caller struct {
	name  string
	every int // between two tasks that come to it
	far   int // to the worker, one way
	due   []int
	late  []int  // how far beyond its turn each task was ordered
	in    []told // statuses on their way to it
	out   []said // its messages on their way
	seen  int64
	sent  int // tasks that it has ordered, with those that came back
	heard int // of them, those that the worker has heard of
}

// told is a status with room for so many tasks.
type told struct {
	at    int
	stamp int64
	tasks int
	heard int
}

// said is an order of the tasks of the turns, with the ask that follows it.
type said struct {
	at    int
	seen  int64
	turns []int
	ask   *wire.CapacityRequest
}

// load is a worker and its coordinators.
type load struct {
	*fixture
	race    bool // nobody asks: all are told of all that is free
	freed   bool // in this millisecond
	ms      int
	callers []*caller
	ends    []int // of what runs
	orders  int
	refused int
}

func (l *load) play(until int) {
	for ; l.ms < until; l.ms++ {
		for len(l.ends) > 0 && l.ends[0] <= l.ms {
			l.ends, l.free, l.freed = l.ends[1:], l.free.Add(cores(1)), true
		}
		for _, c := range l.callers {
			l.act(c)
			l.hear(c)
		}
		l.tell()
		l.pass(time.Millisecond)
	}
}

// act has the coordinator take what comes to it, order what it is told of and ask.
func (l *load) act(c *caller) {
	if l.ms%c.every == 0 {
		c.due = append(c.due, l.ms+slack)
	}
	for len(c.in) > 0 && c.in[0].at <= l.ms {
		n := max(0, min(c.in[0].tasks-(c.sent-c.in[0].heard), len(c.due)))
		c.sent += n
		c.seen = c.in[0].stamp
		c.out = append(c.out, said{at: l.ms + c.far, seen: c.seen, turns: c.due[:n]})
		c.in, c.due = c.in[1:], c.due[n:]
	}
	if !l.race && l.ms%askEach == 0 && len(c.due) > 0 {
		l.seq++
		c.out = append(c.out, said{at: l.ms + c.far, seen: c.seen, ask: &wire.CapacityRequest{Seq: l.seq, Seen: c.seen, Waits: []wire.RoomWait{{
			WaitingWork: wire.WaitingWork{FirstMS: int64(c.due[0] - l.ms), LastMS: int64(c.due[len(c.due)-1] - l.ms)},
			Need:        cores(1), Tasks: uint32(len(c.due)),
		}}}})
	}
}

// hear has the worker take what the coordinator has sent.
func (l *load) hear(c *caller) {
	for ; len(c.out) > 0 && c.out[0].at <= l.ms; c.out = c.out[1:] {
		m := c.out[0]
		if m.ask != nil {
			l.table.Request(l.now, c.name, m.ask)
			continue
		}
		l.table.OrderReceived(l.now, c.name, m.seen)
		for _, turn := range m.turns {
			l.order(c, turn)
		}
	}
}

func (l *load) order(c *caller, turn int) {
	l.orders++
	c.heard++
	if !cores(1).Fits(l.table.Available(c.name, l.free)) {
		l.refused++
		c.due = append(c.due, turn)
		slices.Sort(c.due)
		return
	}
	c.late = append(c.late, l.ms-turn)
	l.free = l.free.Sub(cores(1))
	l.ends = append(l.ends, l.ms+runTime)
	l.table.OrdersAccepted(c.name, l.free)
}

// tell tells the coordinators to whom room is granted, or all that there is free room.
func (l *load) tell() {
	granted := l.table.Allocate(l.now, l.free)
	for _, c := range l.callers {
		if slices.Contains(granted, c.name) || l.race && l.freed {
			l.table.StatusSent(l.now, c.name, l.stamp())
			c.in = append(c.in, told{at: l.ms + c.far, stamp: l.stamp(), tasks: int(l.room(c.name)), heard: c.heard})
		}
	}
	l.freed = false
}

// outcome is what became of the second second of a load.
type outcome struct {
	waits   []int // mean milliseconds beyond their turns, by coordinator
	tasks   int
	orders  int
	refused int
}

func (o outcome) String() string {
	return fmt.Sprintf("%v ms beyond the turn; %d tasks; %d of %d orders refused", o.waits, o.tasks, o.refused, o.orders)
}

// uneven plays twelve coordinators with uneven callers at uneven distances, the busiest the
// farthest, who want a fourth more than the server has.
func uneven(race bool) outcome {
	l := &load{fixture: newFixture(), race: race, freed: true}
	l.free = cores(size)
	l.table.SetCapacity(l.free)
	for i, every := range []int{8, 10, 13, 16, 20, 20, 25, 25, 32, 40, 45, 50} {
		l.callers = append(l.callers, &caller{name: fmt.Sprint("c", i), every: every, far: 4 - i/4})
	}
	l.play(second)
	for _, c := range l.callers {
		c.late = nil
	}
	l.orders, l.refused = 0, 0
	l.play(2 * second)
	o := outcome{orders: l.orders, refused: l.refused}
	for _, c := range l.callers {
		sum := 0
		for _, ms := range c.late {
			sum += ms
		}
		o.waits = append(o.waits, sum/max(1, len(c.late)))
		o.tasks += len(c.late)
	}
	return o
}

// TestEvenness holds that nobody is worse off for the coordinator that it came through:
// whose turn has passed the longest is served, so that tasks of all wait as long beyond
// their turns, within a tenth of the time after which callers try again. Few orders come back,
// and no more room idles than in a race.
func TestEvenness(t *testing.T) {
	asked, raced := uneven(false), uneven(true)
	t.Logf("asked: %v", asked)
	t.Logf("raced: %v", raced)
	const mayDiffer = 130 // ms
	if slices.Max(asked.waits)-slices.Min(asked.waits) > mayDiffer {
		t.Errorf("some wait far longer than others")
	}
	if asked.refused*20 > asked.orders {
		t.Errorf("%d of %d orders come back", asked.refused, asked.orders)
	}
	if asked.tasks*10 < raced.tasks*9 {
		t.Errorf("%d tasks in a second, %d in a race: room idles", asked.tasks, raced.tasks)
	}
}
