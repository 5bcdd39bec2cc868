package promises

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/fakebackend"
	"github.com/lichenfall/lichenfall/jobs/fakestore"
)

// world is a simulated system in virtual time: coordinators, workers with their backend servers,
// the store and clients. Its events run one at a time, in the order of their times.
type world struct {
	random *rand.Rand
	now    time.Time
	queue  eventQueue
	seq    int // number of the latest event; orders events of the same time

	partitions   uint32
	store        *fakestore.State
	storeDown    bool
	refused      map[string]bool // processes whose calls the store refuses
	loseAnswers  float64         // share of the store's calls whose answers are lost
	coordinators []*coordinatorNode
	workers      []*workerNode
	clients      map[durable.JobID]*clientJob
	cut          map[link]bool      // directions in which no message passes
	heldUntil    map[link]time.Time // directions in which messages arrive after this time, in their order

	cfg   *config.Scheduler
	runs  *config.Runs
	dedup config.Dedup
	// unguarded has backend servers start whatever they are ordered to. A start beyond the capacity
	// of a server then violates a promise, and stops take time.
	unguarded bool
	// fleet describes the backend servers, one for each worker; nil for workerCount of the same kind.
	fleet []serverKind
	// subset limits how many workers a coordinator connects to; nil for all.
	subset *config.Subset
	// silentCrashes has the box of a backend server fail with it: calls to the server get no answer
	// in place of a refused connection.
	silentCrashes bool
	// reusesID has backend servers restart under the same instance ID.
	reusesID bool
	// boundStarts has orders to start reach no other incarnation of a backend server than the one that
	// they name, also where servers reuse their IDs, as package platform sees to.
	boundStarts bool
	// lateLinks has what a coordinator sent into a cut arrive after the cut has ended, although the
	// coordinator has closed that connection and opened another.
	lateLinks bool
	// evacuating has operators evacuate data centres, and processes read the evacuations from the
	// store.
	evacuating bool
	// announceJobs has coordinators announce their best-effort jobs to each other, and forward
	// calls about them.
	announceJobs bool
	// noResends has callers of best-effort jobs wait without limit in place of sending them again.
	noResends bool
	// reorderCalls has calls to backend servers overtake each other, and some answers arrive late.
	reorderCalls bool
	// shuffleInbox has a process that was paused handle the events of the pause a few at a time, in
	// any order of their streams, with the tick before or after them.
	shuffleInbox    bool
	operators       operators
	listedEnds      int            // how many ends a backend server lists at once, the first ones
	noFaults        bool           // no faults are injected; stricter bounds hold
	storeTroubledAt time.Time      // when the store was last unavailable or lost answers
	taskTime        time.Duration  // of each run; 0 for a random one of 30 to 400 ms
	onAccept        func()         // called when a client gets the acknowledgement of a job
	violation       string         // the first violated promise; empty if none is
	counts          map[string]int // events by name, for the test's log
}

// serverKind describes a backend server; the zero value is that of most worlds.
type serverKind struct {
	label string
	cores int64
}

// link is one direction between two processes.
type link struct{ from, to string }

// event is a function that runs at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// eventQueue is a heap of events, by time and then by number.
type eventQueue []*event

func (t eventQueue) Len() int { return len(t) }
func (t eventQueue) Less(i, k int) bool {
	if t[i].at.Equal(t[k].at) {
		return t[i].seq < t[k].seq
	}
	return t[i].at.Before(t[k].at)
}
func (t eventQueue) Swap(i, k int) { t[i], t[k] = t[k], t[i] }
func (t *eventQueue) Push(x any)   { *t = append(*t, x.(*event)) }
func (t *eventQueue) Pop() any {
	old := *t
	e := old[len(old)-1]
	*t = old[:len(old)-1]
	return e
}

const (
	coordinatorCount = 3
	workerCount      = 4
	dataCentres      = 2 // in worlds with evacuations
	partitionCount   = 4
)

func newWorld(seed uint64) *world { return newWorldWith(seed, func(*world) {}) }

// newWorldWith returns a world whose options set has changed before its processes start.
func newWorldWith(seed uint64, set func(*world)) *world {
	scheduler := config.DefaultScheduler()
	scheduler.Partitions = partitionCount
	runs := config.DefaultRuns()
	runs.Partitions = partitionCount
	w := &world{
		random:     rand.New(rand.NewPCG(seed, 7)),
		now:        time.Unix(1_000_000, 0),
		partitions: partitionCount,
		store:      fakestore.NewState(partitionCount),
		refused:    make(map[string]bool),
		clients:    make(map[durable.JobID]*clientJob),
		cut:        make(map[link]bool),
		heldUntil:  make(map[link]time.Time),
		cfg:        &scheduler,
		runs:       &runs,
		dedup:      config.DefaultDedup(),
		counts:     make(map[string]int),
		listedEnds: fakebackend.DefaultListedEnds,
		operators:  operators{offset: 1, evacuated: make(map[string]time.Time)},
	}
	set(w)
	if w.evacuating {
		w.after(tickInterval, w.recordTrouble)
	}
	if w.fleet == nil {
		w.fleet = make([]serverKind, workerCount)
	}
	for i := range w.fleet {
		n := newWorkerNode(w, fmt.Sprintf("w%d", i), w.dataCentreOf(i))
		n.backend.become(w.fleet[i])
		w.workers = append(w.workers, n)
	}
	for i := range coordinatorCount {
		w.coordinators = append(w.coordinators, newCoordinatorNode(w, fmt.Sprintf("c%d", i)))
	}
	return w
}

// dataCentreOf returns the data centre of a worker. All workers are in one data centre, except in
// worlds with evacuations.
func (w *world) dataCentreOf(worker int) string {
	if !w.evacuating {
		return "dc"
	}
	return fmt.Sprintf("dc%d", worker%dataCentres)
}

// after schedules do to run d from now.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{w.now.Add(d), w.seq, do})
}

// chance returns true with probability p.
func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// between returns a random duration of low to high, both included.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// run runs events until the length of time is over or a promise is violated.
func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for w.violation == "" && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// violated records a violation. Only the first one of a case counts: what follows may be its
// consequence.
func (w *world) violated(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now.Sub(time.Unix(1_000_000, 0))) + fmt.Sprintf(format, args...)
	}
}

// trace prints a decision of a process if it is about the task or job whose ID begins with
// LICHENFALL_TRACE, or about none.
func (w *world) trace(process, about, format string, args ...any) {
	wanted := os.Getenv("LICHENFALL_TRACE")
	if wanted == "" || (len(about) >= len(wanted) && !strings.HasPrefix(about, wanted)) && !strings.HasPrefix(about, ".0") {
		return
	}
	fmt.Printf("%10.4f %-6s %s %s\n", w.now.Sub(time.Unix(1_000_000, 0)).Seconds(), process, about, fmt.Sprintf(format, args...))
}

// reaches returns whether a message that is sent now passes from one process to the other.
func (w *world) reaches(from, to string) bool { return !w.cut[link{from, to}] }

// storeCall simulates a call to the store: execute runs when the call arrives there, and answer
// gets its error and true. If the answer is lost, answer gets false once limit has passed; the call
// may then be executed seconds later.
func (w *world) storeCall(process string, limit time.Duration, execute func() error, answer func(error, bool)) {
	arrive := w.between(time.Millisecond, 8*time.Millisecond)
	lost := w.chance(w.loseAnswers)
	if lost && w.chance(0.5) {
		// The store executes the call seconds later, if its condition still holds by then.
		arrive = w.between(time.Second, 6*time.Second)
	}
	if lost {
		w.counts["lost answers"]++
		w.after(arrive, func() { _ = execute() })
		w.after(limit, func() { answer(nil, false) })
		return
	}
	w.after(arrive, func() {
		if w.storeDown || w.refused[process] {
			w.after(time.Millisecond, func() { answer(errRefused, true) })
			return
		}
		err := execute()
		w.after(w.between(time.Millisecond, 4*time.Millisecond), func() { answer(err, true) })
	})
}

// taskKey identifies a task in the records of the world.
type taskKey = durable.TaskID

// liveRuns returns how many runs of a task are executing on backend servers that are up.
func (w *world) liveRuns(task taskKey) int {
	n := 0
	for _, node := range w.workers {
		n += node.backend.runCount(task)
	}
	return n
}
