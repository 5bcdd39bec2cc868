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
	"github.com/lichenfall/lichenfall/jobs/fakestore"
)

// world is a system in virtual time.
type world struct {
	random *rand.Rand
	now    time.Time
	queue  eventQueue
	seq    int

	partitions   uint32
	store        *fakestore.State
	storeDown    bool
	refused      map[string]bool // processes that the store turns away
	loseAnswers  float64         // share of the store's answers that are lost
	coordinators []*coordinatorNode
	workers      []*workerNode
	clients      map[durable.JobID]*clientJob
	cut          map[link]bool

	cfg   *config.Scheduler
	runs  *config.Runs
	dedup config.Copies
	// unguarded backend servers start what they are told to, and a start beyond their
	// capacity breaks a promise; their stops take time.
	unguarded bool
	// silentCrashes are those of servers whose boxes go with them: calls get no answer.
	silentCrashes bool
	// sameID says that backend servers start again under the ID that they had.
	reusesID bool
	// lateLinks have what a coordinator sent into a cut arrive when the cut has healed,
	// although it has given the connection up and made another.
	lateLinks bool
	// evacuating says that operators evacuate data centres, and processes read of it.
	evacuating bool
	// announcing has coordinators tell each other which best-effort jobs they have, and pass
	// calls about them on.
	announceJobs bool
	// sentOnce has callers of best-effort jobs wait for ever in place of sending them again.
	noResends bool
	// crossing has calls to backend servers overtake each other, and some answers be late.
	reorderCalls bool
	// anyOrder has a process that was paused handle what has come meanwhile a few at a time, and
	// the tick before or after.
	shuffleInbox    bool
	operators       operators
	noFaults        bool          // nothing goes wrong
	storeTroubledAt time.Time     // when the store was last in trouble
	taskTime        time.Duration // of each run; 0 for some 200 ms
	onAccept        func()        // called when a client learns that its job is kept
	violation       string
	counts          map[string]int
}

type link struct{ from, to string }

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

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
	dataCentres      = 2 // where some are evacuated
	partitionCount   = 4
)

func newWorld(seed uint64) *world { return newWorldWith(seed, func(*world) {}) }

// newWorldWith returns a world that is set before its processes start.
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
		cfg:        &scheduler,
		runs:       &runs,
		dedup:      config.DefaultCopies(),
		counts:     make(map[string]int),
		operators:  operators{offset: 1, evacuated: make(map[string]time.Time)},
	}
	set(w)
	if w.evacuating {
		w.after(tickInterval, w.recordTrouble)
	}
	for i := range workerCount {
		w.workers = append(w.workers, newWorkerNode(w, fmt.Sprintf("w%d", i), w.dataCentreOf(i)))
	}
	for i := range coordinatorCount {
		w.coordinators = append(w.coordinators, newCoordinatorNode(w, fmt.Sprintf("c%d", i)))
	}
	return w
}

// dataCentreOf returns the data centre of the worker: all are in one, unless there are
// evacuations.
func (w *world) dataCentreOf(worker int) string {
	if !w.evacuating {
		return "dc"
	}
	return fmt.Sprintf("dc%d", worker%dataCentres)
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{w.now.Add(d), w.seq, do})
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// run plays until the time is over or a promise is broken.
func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for w.violation == "" && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) violated(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now.Sub(time.Unix(1_000_000, 0))) + fmt.Sprintf(format, args...)
	}
}

// trace prints what a process decides about the task or job that
// LICHENFALL_TRACE names, and what it decides about none.
func (w *world) trace(process, about, format string, args ...any) {
	wanted := os.Getenv("LICHENFALL_TRACE")
	if wanted == "" || (len(about) >= len(wanted) && !strings.HasPrefix(about, wanted)) && !strings.HasPrefix(about, ".0") {
		return
	}
	fmt.Printf("%10.4f %-6s %s %s\n", w.now.Sub(time.Unix(1_000_000, 0)).Seconds(), process, about, fmt.Sprintf(format, args...))
}

// reaches returns whether a message passes between two processes now.
func (w *world) reaches(from, to string) bool { return !w.cut[link{from, to}] }

// storeCall plays a call of the store: its arrival, what it does there, and its
// answer. A lost answer comes as a nil function's silence: answer is not called
// and late is, when it is given up.
func (w *world) storeCall(process string, limit time.Duration, execute func() error, answer func(error, bool)) {
	arrive := w.between(time.Millisecond, 8*time.Millisecond)
	lost := w.chance(w.loseAnswers)
	if lost && w.chance(0.5) {
		// Carried out seconds later, if its condition still holds then.
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

// taskKey names a task in the world's own books.
type taskKey = durable.TaskID

// liveRuns returns the runs of a task on backend servers that are up.
func (w *world) liveRuns(task taskKey) int {
	n := 0
	for _, node := range w.workers {
		n += node.backend.runCount(task)
	}
	return n
}
