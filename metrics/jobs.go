package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/lib/failure"
)

// Jobs counts what coordinators and workers of kept jobs do. It is a
// peer.Counter.
type Jobs struct {
	*Peers
	scope     tally.Scope
	calls     map[string]tally.Counter
	callTime  tally.Histogram
	commits   map[string]tally.Counter
	records   tally.Counter
	commit    tally.Histogram
	mu        sync.Mutex
	decisions map[string]tally.Counter
}

// latencies are the bounds of the histograms.
var latencies = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// NewJobs returns the counters, all at zero.
func NewJobs(s tally.Scope) *Jobs {
	var kinds []string
	for _, r := range failure.Table() {
		kinds = append(kinds, r.Name)
	}
	return &Jobs{
		Peers:     NewPeers(s),
		scope:     s,
		calls:     labelled(s, "calls", "failure", append(kinds, other)),
		callTime:  s.Histogram("call_time", latencies),
		commits:   labelled(s, "commits", "result", []string{"ok", "refused", "fenced", "lost", other}),
		records:   s.Counter("commit_records"),
		commit:    s.Histogram("commit_time", latencies),
		decisions: make(map[string]tally.Counter),
	}
}

// Call counts a caller's request.
func (j *Jobs) Call(_ uint8, kind string, took time.Duration) {
	inc(j.calls, kind, 1)
	j.callTime.RecordDuration(took)
}

// Commit counts a commit.
func (j *Jobs) Commit(result string, records int, took time.Duration) {
	inc(j.commits, result, 1)
	j.records.Inc(int64(records))
	j.commit.RecordDuration(took)
}

// Decision counts a decision of a core. The names are constants of the code.
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
