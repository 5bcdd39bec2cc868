// Package dispatch is the core of an entry: it takes a submission from its
// arrival to its answer. It claims the submission at the holder of its ID,
// places the tasks on agents, retries tasks that certainly did not run, and
// answers every caller that sent the submission. It owns the state of the
// submissions at this entry and does no I/O: its caller passes in events with
// the current time and carries out the effects that Take returns. It relies on
// package claim for the choice of the holder, on package placement for the
// choice of agents and on package job for the state of a single job.
//
// The outcome of a submission is final. An answer says "not run" only for a
// submission that was granted to this entry and that it will never start, or
// for one that was never granted to it and is malformed in every duplicate.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/retry"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/submissions/placement"
	"github.com/lichenfall/lichenfall/wire"
)

// Settings is the part of the configuration that the core uses.
type Settings struct {
	Self        claim.Owner // this entry's address for its peers, and its incarnation
	Holders     []string    // the agents that hold claims, the same list everywhere
	Workspaces  []string
	Pools       []string
	MaxTasks    int           // limit on the tasks of unfinished jobs
	MaxWait     time.Duration // limit on the estimated time that the last task of a new job waits for a slot
	MaxClaims   int           // limit on claims that are not answered yet
	ClaimWait   time.Duration // timeout of a claim
	FetchWait   time.Duration // timeout for a connection to another entry
	PingAfter   time.Duration // time without a message from an agent that holds tasks, after which it is pinged
	PingWait    time.Duration // time after a ping without a message, after which the peer counts as silent
	SilentShare float64       // share of agents that may be silent; above it the entry suspects itself
	Grace       time.Duration // time after a deadline in which the agents may still report their results
	Attempts    int           // limit on the attempts at placing a task, the first one included
	Bounces     int           // limit on how often a task may be handed back as busy
	Slack       int           // tasks by which an agent's queue may exceed the estimate before the agent hands tasks back
	RetryRatio  float64       // retries earned by each first attempt
	RetryBurst  float64       // limit on earned retries that are not spent yet
	Backoff     retry.Backoff // delay before the second and later retries of a task
	KeepAnswers int           // limit on the answers kept for resent calls
	KeepBytes   int           // limit on the bytes of those answers
	KeepFor     time.Duration // how long they are kept
	MaxFetched  int           // limit on the bytes of an answer sent to another entry
	Policy      placement.Policy
}

// Waiter is a receiver of an answer: a caller of this entry or, where Peer is
// set, another entry that fetches the answer for one of its own callers.
type Waiter struct {
	Caller uint64 // set when Peer is empty
	Peer   string
	Seq    uint64 // of the peer's wire.Fetch
}

// Send is a message to send to a peer.
type Send struct {
	Peer    string
	Message wire.Message
}

// Delivery is an answer to return to a caller.
type Delivery struct {
	Caller uint64
	Answer *job.Answer
}

// Effects lists what the caller of the core has to do after events: connect to
// peers, send messages and return answers, each in the order of its list.
type Effects struct {
	Dials      []string // peers to connect to
	Sends      []Send
	Deliveries []Delivery
}

// Counter counts the decisions of the core.
type Counter interface {
	Answered(k failure.Kind)                     // a final answer to a caller; None for a complete one
	Refused(k failure.Kind)                      // a task refused or failed by an agent
	Retried(k failure.Kind)                      // a task placed again after that
	Claimed(v claim.Verdict, took time.Duration) // a holder's reply to a claim
	Dropped(reason string)                       // a late, repeated or unexpected message; one of DropReasons
	Violated(promise string)                     // a violated promise; one of Promises
	Resent(found string)                         // a resent call for a submission that is "running" or "answered"
	Placed(n int)                                // tasks sent to an agent
	Suspected(who string)                        // "agent" for a silent agent, "self" when too many are silent
}

// The reasons for dropping a message.
const (
	dropLateClaimReply = "late_claim_reply"
	dropLateFetched    = "late_fetched"
	dropLateResult     = "late_result"
	dropNotForEntry    = "not_for_an_entry"
)

// DropReasons returns every reason that Counter.Dropped can be given.
func DropReasons() []string {
	return []string{dropLateClaimReply, dropLateFetched, dropLateResult, dropNotForEntry}
}

// The promises to callers that are asserted at run time.
const (
	promiseOwnAnswer   = "answer_of_another_submission"
	promiseWholeAnswer = "half_answer"
	promiseNotRun      = "not_run_after_start"
	promiseJSON        = "answer_not_json"
)

// Promises returns every promise that Counter.Violated can be given.
func Promises() []string {
	return []string{promiseOwnAnswer, promiseWholeAnswer, promiseNotRun, promiseJSON}
}

// Core is the state of one entry. It is not safe for concurrent use.
type Core struct {
	cfg              Settings
	count            Counter
	rng              *rand.Rand
	agents           *placement.Set
	budget           retry.Budget
	workspaces       map[string]bool
	pools            map[string]bool
	digest           uint64 // digest of the list of holders
	peers            map[string]*peerState
	records          map[string]*record
	kept             keptRecords
	jobs             map[uint64]*record
	claims           map[uint64]*pendingRequest
	fetches          map[uint64]*pendingRequest
	delayed          []delayedTask
	running          int // number of tasks of unfinished jobs
	rate             rateMeter
	silenceCheckedAt time.Time // time of the last check for silent agents
	silent           int       // number of agents that get no work because they are silent
	lastJob          uint64
	lastSeq          uint64
	stopping         bool
	out              Effects
}

// peerState is the state of a connected peer of any role.
type peerState struct {
	incarnation string
	silent      bool // missed a timeout, and has sent nothing since
	lastHeard   time.Time
	pingedAt    time.Time // zero when no ping is unanswered
	leaveAcked  bool      // the agent announced that it is leaving, and got wire.LeaveAck
}

// New returns the core of an entry that starts now; rng is the source of its
// random choices.
func New(s Settings, c Counter, rng *rand.Rand) *Core {
	return &Core{
		cfg:        s,
		count:      c,
		rng:        rng,
		agents:     placement.New(s.Policy, rng),
		budget:     retry.Budget{Ratio: s.RetryRatio, Burst: s.RetryBurst},
		workspaces: nameSet(s.Workspaces),
		pools:      nameSet(s.Pools),
		digest:     claim.Assignment(s.Holders),
		peers:      make(map[string]*peerState),
		records:    make(map[string]*record),
		kept:       newKeptRecords(),
		jobs:       make(map[uint64]*record),
		claims:     make(map[uint64]*pendingRequest),
		fetches:    make(map[uint64]*pendingRequest),
	}
}

func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// Take returns the effects of all events since the last call.
func (c *Core) Take() Effects {
	out := c.out
	c.out = Effects{}
	return out
}

// Agents returns the connected agents.
func (c *Core) Agents() *placement.Set { return c.agents }

// Running returns the number of unfinished jobs and of their tasks.
func (c *Core) Running() (jobs, tasks int) { return len(c.jobs), c.running }

// Stop makes the core refuse new submissions. Those it has are finished.
func (c *Core) Stop() { c.stopping = true }

// Idle returns whether no job runs and no claim or fetch is pending.
func (c *Core) Idle() bool {
	return len(c.jobs) == 0 && len(c.claims) == 0 && len(c.fetches) == 0
}

// Tick handles the timeouts and retries that are due at now. It should be
// called every few milliseconds.
func (c *Core) Tick(now time.Time) {
	c.expireClaims(now)
	c.expireFetches(now)
	c.expireJobs(now)
	c.placeDelayed(now)
	c.checkSilence(now)
	c.agents.DetectOutliers(now)
	c.expireKept(now)
	c.rate.roll(now)
}

func (c *Core) send(peer string, m wire.Message) {
	c.out.Sends = append(c.out.Sends, Send{Peer: peer, Message: m})
}

func (c *Core) nextSeq() uint64 {
	c.lastSeq++
	return c.lastSeq
}

func (c *Core) reachable(peer string) bool {
	return c.peers[peer] != nil
}
