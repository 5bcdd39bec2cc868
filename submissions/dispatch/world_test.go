package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/retry"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/dispatch"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/submissions/queue"
	"github.com/lichenfall/lichenfall/wire"
)

// world simulates a few entries and agents, represented by their cores, in
// virtual time. Their connections keep messages in order, but may break at any
// time and lose any tail of the messages in flight. startCount records the
// starts of tasks at the backend servers; the checks compare it with the
// answers that callers got.

const (
	clockBound  = 100 * time.Millisecond
	claimWindow = 20 * time.Second
	claimWait   = 200 * time.Millisecond
)

type taskKey struct {
	submission string
	index      uint32
}

// pipe is one direction of a connection, with the messages in flight.
type pipe struct {
	messages []wire.Message
	broken   bool // the connection ends after the messages
	ended    bool // the receiver has seen the end
}

type conn struct {
	entry    int    // index of the entry that dialled
	peer     string // address dialled
	inName   string // name of the connection at a dialled entry
	link     queue.Link
	toPeer   pipe
	toEntry  pipe
	entryInc string
	peerInc  string
}

type simEntry struct {
	address string
	inc     string
	core    *dispatch.Core
	offset  time.Duration
	paused  bool
	conns   map[string]*conn // by address dialled
}

type simAgent struct {
	address string
	inc     string
	queue   *queue.Queue
	holder  claim.Holder
	offset  time.Duration
	paused  bool
	left    bool
	running []*running
}

type running struct {
	task    *queue.Task
	outcome queue.Outcome
}

type call struct {
	sub    *job.Submission
	entry  int
	inc    string
	tasks  int
	answer *job.Answer
}

type world struct {
	t          *rapid.T
	rng        *rand.Rand
	events     *tally
	now        time.Time
	lastID     int // numbers incarnations and links
	holders    []string
	entries    []*simEntry
	agents     []*simAgent
	conns      []*conn
	startCount map[taskKey]int
	subs       []*job.Submission
	calls      map[uint64]*call
	caller     uint64
	notRun     map[string]bool // IDs that some answer called not run
	// started and refused have keys made of an ID and its content: content that was
	// started, and content that an answer refused as mismatched and not run.
	started map[string]bool
	refused map[string]bool
}

func newWorld(t *rapid.T, events *tally, entries, agents int) *world {
	w := &world{
		t: t, events: events, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Unix(1_800_000_000, 0),
		startCount: make(map[taskKey]int), calls: make(map[uint64]*call), notRun: make(map[string]bool),
		started: make(map[string]bool), refused: make(map[string]bool),
	}
	for i := range agents {
		w.holders = append(w.holders, fmt.Sprintf("agent-%d", i))
	}
	for i := range agents {
		w.agents = append(w.agents, &simAgent{address: w.holders[i]})
		w.startAgent(i)
	}
	for i := range entries {
		w.entries = append(w.entries, &simEntry{address: fmt.Sprintf("entry-%d", i)})
		w.startEntry(i)
	}
	w.now = w.now.Add(4 * clockBound)
	w.reconnect()
	return w
}

// randInt returns a uniformly distributed number from low to high. It does not
// use rapid's generators, which favour small numbers and the ends of a range and
// so would favour some actions; the generator used here is seeded by rapid.
func (w *world) randInt(low, high int) int { return low + w.rng.IntN(high-low+1) }

func (w *world) randInt64(low, high int64) int64 { return low + w.rng.Int64N(high-low+1) }

func (w *world) incarnation() string {
	w.lastID++
	return fmt.Sprintf("life-%d", w.lastID)
}

// drawOffset returns a random offset of a box's clock from the true time; two
// clocks differ by clockBound at most.
func (w *world) drawOffset() time.Duration {
	return time.Duration(w.randInt64(-int64(clockBound)/2, int64(clockBound)/2))
}

func (w *world) startAgent(i int) {
	a := w.agents[i]
	a.inc = w.incarnation()
	a.offset = w.drawOffset()
	a.paused, a.left, a.running = false, false, nil
	a.queue = queue.New(queue.Limits{Slots: 2, Queue: 2, MaxRemembered: 1000, Window: claimWindow, ClockBound: clockBound, Hold: 10 * time.Millisecond}, w.events)
	limits := claim.Limits{Entries: 2, Window: claimWindow, ClockBound: clockBound}
	a.holder = claim.Holder{Table: claim.New(w.agentNow(a), limits), Assignment: claim.Assignment(w.holders)}
}

func (w *world) startEntry(i int) {
	e := w.entries[i]
	e.inc = w.incarnation()
	e.offset = w.drawOffset()
	e.paused = false
	e.conns = make(map[string]*conn)
	e.core = dispatch.New(dispatch.Settings{
		Self:        claim.Owner{Address: e.address, Incarnation: e.inc},
		Holders:     w.holders,
		Workspaces:  []string{"team"},
		Pools:       []string{"pool"},
		MaxTasks:    12,
		MaxWait:     time.Second,
		MaxClaims:   50,
		ClaimWait:   claimWait,
		FetchWait:   claimWait,
		Grace:       20 * time.Millisecond,
		PingAfter:   100 * time.Millisecond,
		PingWait:    100 * time.Millisecond,
		SilentShare: 0.4,
		Attempts:    3,
		Bounces:     w.randInt(0, 2),
		RetryRatio:  0.5,
		RetryBurst:  10,
		Backoff:     retry.Backoff{Base: 5 * time.Millisecond, Max: 50 * time.Millisecond},
		KeepAnswers: 6,
		KeepBytes:   10000,
		KeepFor:     10 * time.Second,
		MaxFetched:  1 << 20,
	}, w.events, rand.New(rand.NewPCG(1, uint64(w.lastID))))
}

func (w *world) entryNow(e *simEntry) time.Time { return w.now.Add(e.offset) }
func (w *world) agentNow(a *simAgent) time.Time { return w.now.Add(a.offset) }

func (w *world) agentAt(address string) *simAgent {
	for _, a := range w.agents {
		if a.address == address {
			return a
		}
	}
	return nil
}

func (w *world) entryAt(address string) *simEntry {
	for _, e := range w.entries {
		if e.address == address {
			return e
		}
	}
	return nil
}

// reconnect makes every running entry dial the agents it is not connected to.
func (w *world) reconnect() {
	for i, e := range w.entries {
		for _, h := range w.holders {
			if !e.paused && e.conns[h] == nil {
				w.dial(i, h)
			}
		}
	}
}

// dial connects entry i to an agent or to another entry. It succeeds while that
// process is paused, as its kernel accepts the connection.
func (w *world) dial(i int, address string) {
	e := w.entries[i]
	w.lastID++
	c := &conn{entry: i, peer: address, link: queue.Link(w.lastID), inName: fmt.Sprintf("in-%d", w.lastID), entryInc: e.inc}
	hello := &wire.Hello{Role: wire.RoleEntry, Address: address}
	if a := w.agentAt(address); a != nil {
		c.peerInc = a.inc
		hello = &wire.Hello{Role: wire.RoleAgent, Pool: "pool", Slots: 2, Queue: 2, Incarnation: a.inc, Leaving: a.queue.Leaving()}
	} else {
		other := w.entryAt(address)
		c.peerInc = other.inc
		hello.Incarnation = other.inc
		other.core.PeerUp(w.entryNow(other), c.inName, &wire.Hello{Role: wire.RoleEntry, Address: e.address, Incarnation: e.inc})
	}
	w.conns = append(w.conns, c)
	e.conns[address] = c
	e.core.PeerUp(w.entryNow(e), address, hello)
	w.flushEntry(e)
}

// breakConn breaks a connection. In each direction a random number of the first
// messages in flight still arrives.
func (w *world) breakConn(c *conn) {
	for _, p := range []*pipe{&c.toPeer, &c.toEntry} {
		if !p.broken {
			p.messages = p.messages[:w.randInt(0, len(p.messages))]
			p.broken = true
		}
	}
}

func (w *world) entryAlive(c *conn) bool { return w.entries[c.entry].inc == c.entryInc }

func (w *world) peerAlive(c *conn) bool {
	if a := w.agentAt(c.peer); a != nil {
		return a.inc == c.peerInc
	}
	return w.entryAt(c.peer).inc == c.peerInc
}

// deliverToPeer delivers the next message, or the end of the connection, to the
// dialled side.
func (w *world) deliverToPeer(c *conn) {
	m, end := c.toPeer.next()
	if a := w.agentAt(c.peer); a != nil {
		w.toAgent(a, c, m, end)
		return
	}
	e := w.entryAt(c.peer)
	if end {
		e.core.PeerDown(w.entryNow(e), c.inName)
	} else {
		e.core.HandleMessage(w.entryNow(e), c.inName, m)
	}
	w.flushEntry(e)
}

func (w *world) toAgent(a *simAgent, c *conn, m wire.Message, end bool) {
	now := w.agentNow(a)
	switch m := m.(type) {
	case *wire.Place:
		a.queue.Place(now, c.link, m)
	case *wire.Ping:
		c.toEntry.push(&wire.Results{Load: a.queue.Load(c.link)})
	case *wire.Cancel:
		a.queue.Cancel(now, c.link, m)
	case *wire.Claim:
		owner := claim.Owner{Address: w.entries[c.entry].address, Incarnation: c.entryInc}
		c.toEntry.push(a.holder.Serve(now, owner, m))
	}
	if end {
		a.queue.LinkDown(c.link)
	}
	w.flushAgent(a)
}

func (w *world) deliverToEntry(c *conn) {
	m, end := c.toEntry.next()
	e := w.entries[c.entry]
	if end {
		delete(e.conns, c.peer)
		e.core.PeerDown(w.entryNow(e), c.peer)
	} else {
		e.core.HandleMessage(w.entryNow(e), c.peer, m)
	}
	w.flushEntry(e)
}

func (p *pipe) push(m wire.Message) {
	if !p.broken {
		p.messages = append(p.messages, m)
	}
}

func (p *pipe) next() (m wire.Message, end bool) {
	if len(p.messages) == 0 {
		p.ended = true
		return nil, true
	}
	m = p.messages[0]
	p.messages = p.messages[1:]
	return m, false
}

func (p *pipe) ready() bool { return len(p.messages) > 0 || p.broken && !p.ended }

func (w *world) flushAgent(a *simAgent) {
	out := a.queue.Take(w.agentNow(a))
	for _, t := range out.Start {
		w.start(a, t)
	}
	for _, r := range out.Reports {
		for _, c := range w.conns {
			if c.link == r.Link && c.peerInc == a.inc {
				c.toEntry.push(&wire.Results{Load: a.queue.Load(r.Link), Items: []wire.Result{r.Result}})
			}
		}
	}
}

// start sends a task to the backend server, which may be unreachable. A task
// that reached it runs even if the agent crashes.
func (w *world) start(a *simAgent, t *queue.Task) {
	if a.left {
		w.t.Fatalf("agent %s starts work after leaving", a.address)
	}
	r := &running{task: t, outcome: w.drawOutcome(t)}
	if r.outcome.Ran != failure.NotRun {
		w.startCount[taskKey{t.Submission, t.Index}]++
		w.started[t.Submission+string(t.Payload)] = true
	}
	if n := w.startCount[taskKey{t.Submission, t.Index}]; n > 1 {
		w.t.Fatalf("task %d of %s started %d times", t.Index, t.Submission, n)
	}
	a.running = append(a.running, r)
}

func (w *world) drawOutcome(t *queue.Task) queue.Outcome {
	switch w.randInt(0, 9) {
	case 0:
		w.events.add("fault: backend unreachable")
		return queue.Outcome{Kind: failure.BackendUnreachable, Ran: failure.NotRun}
	case 1:
		w.events.add("fault: backend connection lost")
		return queue.Outcome{Kind: failure.BackendLost, Ran: failure.RanUnknown}
	case 2:
		w.events.add("fault: task failed")
		return queue.Outcome{Kind: failure.TaskFailed, Ran: failure.DidRun}
	}
	return queue.Outcome{Ran: failure.DidRun, Body: []byte(body(t.Submission, int(t.Index)))}
}

func body(submission string, index int) string { return fmt.Sprintf(`"%s/%d"`, submission, index) }

func (w *world) flushEntry(e *simEntry) {
	out := e.core.Take()
	for _, address := range out.Dials {
		if e.conns[address] == nil {
			w.dial(w.indexOf(e), address)
		}
	}
	for _, s := range out.Sends {
		w.sendFrom(e, s)
	}
	for _, d := range out.Deliveries {
		w.checkDelivery(d)
	}
}

func (w *world) indexOf(e *simEntry) int {
	for i := range w.entries {
		if w.entries[i] == e {
			return i
		}
	}
	return -1
}

func (w *world) sendFrom(e *simEntry, s dispatch.Send) {
	if c := e.conns[s.Peer]; c != nil {
		c.toPeer.push(s.Message)
		return
	}
	for _, c := range w.conns {
		if c.inName == s.Peer && c.peer == e.address && c.peerInc == e.inc {
			c.toEntry.push(s.Message)
		}
	}
}

// checkDelivery checks an answer to a caller.
func (w *world) checkDelivery(d dispatch.Delivery) {
	c := w.calls[d.Caller]
	switch {
	case c == nil || c.answer != nil:
		w.t.Fatalf("an answer without a waiting caller: %+v", d)
	case d.Answer.Submission != c.sub.ID:
		w.t.Fatalf("caller of %s is answered for %s", c.sub.ID, d.Answer.Submission)
	}
	c.answer = d.Answer
	if d.Answer.Error == nil {
		w.events.add("answer: complete")
		w.checkComplete(c)
		return
	}
	e := d.Answer.Error
	w.events.add("answer: " + e.Kind + ", " + e.Ran)
	if len(d.Answer.Results) != 0 {
		w.t.Fatalf("a failed job has results")
	}
	if e.Ran == failure.NotRun.String() && e.Kind != failure.SubmissionMismatch.String() {
		w.notRun[c.sub.ID] = true
	}
	if e.Kind == failure.SubmissionMismatch.String() {
		w.refused[c.sub.ID+content(c.sub)] = true
	}
	w.checkNotRun()
	w.checkRefused()
}

func (w *world) checkComplete(c *call) {
	if len(c.answer.Results) != c.tasks {
		w.t.Fatalf("half an answer: %d of %d", len(c.answer.Results), c.tasks)
	}
	for i, r := range c.answer.Results {
		if string(r) != body(c.sub.ID, i) {
			w.t.Fatalf("result %d of %s is %s", i, c.sub.ID, r)
		}
	}
}

// content returns a string that differs for submissions of the same ID with
// different content.
func content(s *job.Submission) string { return fmt.Sprintf("/%x", s.Digest[0]) }

// checkNotRun fails the test if a task was started of a submission that some
// answer called not run.
func (w *world) checkNotRun() {
	for key, n := range w.startCount {
		if n > 0 && w.notRun[key.submission] {
			w.t.Fatalf("%s is said not to have run, but task %d was started", key.submission, key.index)
		}
	}
}

// checkRefused fails the test if content was started that an answer refused as
// mismatched and not run.
func (w *world) checkRefused() {
	for key := range w.refused {
		if w.started[key] {
			w.t.Fatalf("%s was refused as other content that did not run, but was started", key)
		}
	}
}

// tally counts the events of a run by name. It implements dispatch.Counter, and
// panics when a promise is violated.
type tally struct {
	counts map[string]int
}

func (s *tally) add(what string)                          { s.counts[what]++ }
func (s *tally) Answered(failure.Kind)                    {}
func (s *tally) Refused(failure.Kind)                     {}
func (s *tally) Retried(k failure.Kind)                   { s.add("retry: " + k.String()) }
func (s *tally) Claimed(v claim.Verdict, _ time.Duration) { s.add("claim: " + v.String()) }
func (s *tally) Dropped(reason string)                    { s.add("dropped: " + reason) }
func (s *tally) Violated(promise string)                  { panic("promise violated: " + promise) }
func (s *tally) Resent(found string)                      { s.add("resend: " + found) }
func (s *tally) Placed(int)                               {}
func (s *tally) Suspected(who string)                     { s.add("suspected: " + who) }

func (s *tally) String() string {
	lines := make([]string, 0, len(s.counts))
	for k, n := range s.counts {
		lines = append(lines, fmt.Sprintf("%s: %d", k, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}
