package room_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Times of a load, in milliseconds unless the comment says otherwise.
const (
	second          = 1000
	slack           = 100 // from the arrival of a task to its virtual deadline
	runTime         = 60  // of a task of one core
	serverCores     = 30  // cores of the backend server: 500 such tasks a second
	requestInterval = 40  // between two requests of a coordinator
)

// coordinator is a coordinator of a load.
type coordinator struct {
	name     string
	interval int // between two tasks that arrive at it
	latency  int // to the worker, one way
	due      []int
	late     []int     // for each accepted task, how long after its virtual deadline it was ordered
	statuses []status  // on their way to the coordinator
	messages []message // on their way to the worker
	seen     int64
	sent     int // tasks that it has ordered, refused ones included
	received int // of these, the tasks whose orders the worker has received
}

// status advertises capacity for the given number of tasks.
type status struct {
	at       int
	stamp    int64
	tasks    int
	received int
}

// message is either an order of the tasks with the given virtual deadlines, or a request.
type message struct {
	at        int
	seen      int64
	deadlines []int
	request   *wire.CapacityRequest
}

// load is a worker and its coordinators.
type load struct {
	*fixture
	firstCome    bool // no coordinator sends requests, so all free capacity is advertised to all
	freed        bool // in this millisecond
	ms           int
	coordinators []*coordinator
	ends         []int // when the running tasks end
	orders       int
	refused      int
}

func (l *load) play(until int) {
	for ; l.ms < until; l.ms++ {
		for len(l.ends) > 0 && l.ends[0] <= l.ms {
			l.ends, l.free, l.freed = l.ends[1:], l.free.Add(cores(1)), true
		}
		for _, c := range l.coordinators {
			l.act(c)
			l.receive(c)
		}
		l.sendStatuses()
		l.pass(time.Millisecond)
	}
}

// act makes the coordinator accept the task that arrives, order tasks for the capacity that
// was advertised to it, and send a request when one is due.
func (l *load) act(c *coordinator) {
	if l.ms%c.interval == 0 {
		c.due = append(c.due, l.ms+slack)
	}
	for len(c.statuses) > 0 && c.statuses[0].at <= l.ms {
		n := max(0, min(c.statuses[0].tasks-(c.sent-c.statuses[0].received), len(c.due)))
		c.sent += n
		c.seen = c.statuses[0].stamp
		c.messages = append(c.messages, message{at: l.ms + c.latency, seen: c.seen, deadlines: c.due[:n]})
		c.statuses, c.due = c.statuses[1:], c.due[n:]
	}
	if !l.firstCome && l.ms%requestInterval == 0 && len(c.due) > 0 {
		l.seq++
		c.messages = append(c.messages, message{at: l.ms + c.latency, seen: c.seen, request: &wire.CapacityRequest{Seq: l.seq, Seen: c.seen, Waits: []wire.WaitingGroup{{
			WaitingWork: wire.WaitingWork{FirstMS: int64(c.due[0] - l.ms), LastMS: int64(c.due[len(c.due)-1] - l.ms)},
			Need:        cores(1), Tasks: uint32(len(c.due)),
		}}}})
	}
}

// receive makes the worker handle the coordinator's messages that have arrived.
func (l *load) receive(c *coordinator) {
	for ; len(c.messages) > 0 && c.messages[0].at <= l.ms; c.messages = c.messages[1:] {
		m := c.messages[0]
		if m.request != nil {
			l.table.Request(l.now, c.name, m.request)
			continue
		}
		l.table.OrderReceived(l.now, c.name, m.seen)
		for _, deadline := range m.deadlines {
			l.order(c, deadline)
		}
	}
}

func (l *load) order(c *coordinator, deadline int) {
	l.orders++
	c.received++
	if !cores(1).Fits(l.table.Available(c.name, l.free)) {
		l.refused++
		c.due = append(c.due, deadline)
		slices.Sort(c.due)
		return
	}
	c.late = append(c.late, l.ms-deadline)
	l.free = l.free.Sub(cores(1))
	l.ends = append(l.ends, l.ms+runTime)
	l.table.OrdersAccepted(c.name, l.free)
}

// sendStatuses sends a status to the coordinators that were granted capacity, or to all when
// capacity has come free and nobody sends requests.
func (l *load) sendStatuses() {
	granted := l.table.Allocate(l.now, l.free)
	for _, c := range l.coordinators {
		if slices.Contains(granted, c.name) || l.firstCome && l.freed {
			l.table.StatusSent(l.now, c.name, l.stamp())
			c.statuses = append(c.statuses, status{at: l.ms + c.latency, stamp: l.stamp(), tasks: int(l.available(c.name)), received: c.received})
		}
	}
	l.freed = false
}

// outcome is the result of the second second of a load.
type outcome struct {
	waits   []int // mean milliseconds from virtual deadline to accepted order, by coordinator
	tasks   int
	orders  int
	refused int
}

func (o outcome) String() string {
	return fmt.Sprintf("%v ms past the virtual deadline; %d tasks; %d of %d orders refused", o.waits, o.tasks, o.refused, o.orders)
}

// playUneven plays a load of twelve coordinators whose arrival rates and distances to the
// worker differ, the busiest being the farthest. Together they want a quarter more than the
// backend server has.
func playUneven(firstCome bool) outcome {
	l := &load{fixture: newFixture(), firstCome: firstCome, freed: true}
	l.free = cores(serverCores)
	l.table.SetCapacity(l.free)
	for i, interval := range []int{8, 10, 13, 16, 20, 20, 25, 25, 32, 40, 45, 50} {
		l.coordinators = append(l.coordinators, &coordinator{name: fmt.Sprint("c", i), interval: interval, latency: 4 - i/4})
	}
	l.play(second)
	for _, c := range l.coordinators {
		c.late = nil
	}
	l.orders, l.refused = 0, 0
	l.play(2 * second)
	o := outcome{orders: l.orders, refused: l.refused}
	for _, c := range l.coordinators {
		sum := 0
		for _, ms := range c.late {
			sum += ms
		}
		o.waits = append(o.waits, sum/max(1, len(c.late)))
		o.tasks += len(c.late)
	}
	return o
}

// TestFairness checks that a task's wait does not depend on its coordinator. Capacity goes to
// the task with the earliest virtual deadline, so tasks of all coordinators wait equally long
// past their deadlines, within about a tenth of the time after which callers retry. Few orders
// are refused, and no more capacity idles than when the first order gets it.
func TestFairness(t *testing.T) {
	shared, firstCome := playUneven(false), playUneven(true)
	t.Logf("shared by grants: %v", shared)
	t.Logf("first come, first served: %v", firstCome)
	const maxDifference = 130 // ms
	if slices.Max(shared.waits)-slices.Min(shared.waits) > maxDifference {
		t.Errorf("tasks of some coordinators wait far longer than those of others")
	}
	if shared.refused*20 > shared.orders {
		t.Errorf("%d of %d orders were refused", shared.refused, shared.orders)
	}
	if shared.tasks*10 < firstCome.tasks*9 {
		t.Errorf("%d tasks in a second, %d when first come, first served: capacity idles", shared.tasks, firstCome.tasks)
	}
}
