package metrics

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/peer"
)

// Jobs holds the metrics of a coordinator or a worker. It implements peer.Counter.
type Jobs struct {
	*Peers
	scope     tally.Scope
	calls     map[string]tally.Counter
	callTime  tally.Histogram
	commits   map[string]tally.Counter
	records   tally.Counter
	store     map[string]storeCounters
	commit    tally.Histogram
	classes   []classCounters // indexed by class
	mu        sync.Mutex
	decisions map[string]tally.Counter
}

// classCounters are the metrics of the jobs of one class, which follows from the priority of their
// queue.
type classCounters struct {
	refused tally.Counter   // calls refused for lack of capacity
	wait    tally.Histogram // from a job's arrival to the start request for its first task
}

func newClassCounters(s tally.Scope, classes int) []classCounters {
	out := make([]classCounters, classes)
	for class := range out {
		tagged := s.Tagged(map[string]string{"class": strconv.Itoa(class)})
		out[class] = classCounters{refused: tagged.Counter("jobs_refused"), wait: tagged.Histogram("job_wait", latencies)}
	}
	return out
}

// JobRefused counts a call of the class that was refused for lack of capacity.
func (j *Jobs) JobRefused(class int) { j.classes[class].refused.Inc(1) }

// JobBegun records how long a job of the class waited until the start of its first task was
// requested.
func (j *Jobs) JobBegun(class int, waited time.Duration) {
	j.classes[class].wait.RecordDuration(waited)
}

// latencies are the bucket bounds of the histograms.
var latencies = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// storeCounters are the metrics of the calls to the store of one kind.
type storeCounters struct {
	calls tally.Counter
	bytes [2]tally.Counter // bytes of bodies, indexed by peer.Direction
}

func newStoreCounters(s tally.Scope, kind string) storeCounters {
	tagged := s.Tagged(map[string]string{"kind": kind})
	c := storeCounters{calls: tagged.Counter("store_calls")}
	for d, name := range directions {
		c.bytes[d] = tagged.Tagged(map[string]string{"direction": name}).Counter("store_bytes")
	}
	return c
}

// StoreCall counts a call to the store and the bytes of its bodies. A kind that was not given to
// NewJobs is counted as "other".
func (j *Jobs) StoreCall(kind string, sent, received int) {
	c, ok := j.store[kind]
	if !ok {
		c = j.store[other]
	}
	c.calls.Inc(1)
	c.bytes[peer.Out].Inc(int64(sent))
	c.bytes[peer.In].Inc(int64(received))
}

// NewJobs registers the metrics of a coordinator or a worker, all at zero. storeCalls are the kinds of
// calls to the store, classes is the number of classes of jobs.
func NewJobs(s tally.Scope, storeCalls []string, classes int) *Jobs {
	var kinds []string
	for _, r := range failure.Table() {
		kinds = append(kinds, r.Name)
	}
	store := make(map[string]storeCounters)
	for _, kind := range append(slices.Clone(storeCalls), other) {
		store[kind] = newStoreCounters(s, kind)
	}
	return &Jobs{
		Peers:     NewPeers(s),
		store:     store,
		scope:     s,
		calls:     labelled(s, "calls", "failure", append(kinds, other)),
		callTime:  s.Histogram("call_time", latencies),
		commits:   labelled(s, "commits", "result", []string{"ok", "refused", "fenced", "lost", other}),
		records:   s.Counter("commit_records"),
		commit:    s.Histogram("commit_time", latencies),
		classes:   newClassCounters(s, classes),
		decisions: make(map[string]tally.Counter),
	}
}

// Call counts a caller's request by the kind of failure, and records its duration.
func (j *Jobs) Call(_ uint8, kind string, took time.Duration) {
	inc(j.calls, kind, 1)
	j.callTime.RecordDuration(took)
}

// Commit counts a commit by its result, and records its number of records and its duration.
func (j *Jobs) Commit(result string, records int, took time.Duration) {
	inc(j.commits, result, 1)
	j.records.Inc(int64(records))
	j.commit.RecordDuration(took)
}

// Decision counts a decision of a core. The caller passes constants only, so that the number of
// labels is bounded.
func (j *Jobs) Decision(what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.decisions[what]
	if c == nil {
		c = j.scope.Tagged(map[string]string{"what": what}).Counter("decisions")
		j.decisions[what] = c
	}
	c.Inc(1)
}
