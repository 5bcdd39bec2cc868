// Package dispatch is the core of an entry: from a submission to its answer.
// It claims each submission at the holder of its ID, places the tasks, retries
// those that certainly did not run, and answers everyone who asked. It does no
// I/O: events come in with the present time, effects are taken out.
//
// A submission has one outcome for good. An answer that says "not run" is
// given only for a submission that this entry was granted and will not start
// any more, or that was never granted to it and is malformed in every copy.
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

// Settings are the decisions that the operators make.
type Settings struct {
	Self        claim.Owner // this entry's address for its peers, and its incarnation
	Holders     []string    // the agents that hold claims, the same list everywhere
	Workspaces  []string
	Pools       []string
	MaxTasks    int           // tasks of unfinished jobs, at most
	MaxWait     time.Duration // of a new job's last task for a slot, by our knowledge
	MaxClaims   int           // claims asked and not answered, at most
	ClaimWait   time.Duration // for the holder's answer to a claim
	FetchWait   time.Duration // for a link to another entry
	PingAfter   time.Duration // without a word of an agent that holds tasks
	PingWait    time.Duration // for its answer, before it counts as silent
	SilentShare float64       // of the agents that may be silent before we suspect ourselves
	Grace       time.Duration // after a deadline, for the agents' own word on it
	Attempts    int           // at placing a task, the first one included
	Bounces     int           // times that a task may be handed back as busy
	Slack       int           // tasks that an agent may hold beyond what we think, before it is busy
	RetryRatio  float64       // retries for each first attempt
	RetryBurst  float64       // retries that may be saved up
	Backoff     retry.Backoff // before the second and later retries of a task
	KeepAnswers int           // answers kept for resends
	KeepBytes   int           // bytes of those answers
	KeepFor     time.Duration // how long they are kept
	MaxFetched  int           // bytes of an answer passed on to another entry
	Policy      placement.Policy
}

// Waiter is whoever waits for an answer: a caller of this entry, or another
// entry that asks on behalf of one of its own.
type Waiter struct {
	Caller uint64 // when Peer is empty
	Peer   string
	Seq    uint64
}

// Send is a message to be sent to a peer.
type Send struct {
	Peer    string
	Message wire.Message
}

// Delivery is an answer to be handed to a caller.
type Delivery struct {
	Caller uint64
	Answer *job.Answer
}

// Effects is what the caller of the core has to do after events.
type Effects struct {
	Dials      []string // peers to connect to
	Sends      []Send
	Deliveries []Delivery
}

// Counter counts what the core decides.
type Counter interface {
	Answered(k failure.Kind)                     // a final answer to a caller; None for a complete one
	Refused(k failure.Kind)                      // a task refused or failed by an agent
	Retried(k failure.Kind)                      // a task placed again after that
	Claimed(v claim.Verdict, took time.Duration) // a holder's answer
	Dropped(reason string)                       // a message that came too late or twice; one of DropReasons
	Violated(promise string)                     // a promise of the program found broken; one of Promises
	Resent(found string)                         // a copy of a known submission: "running" or "answered"
	Placed(n int)                                // tasks sent to an agent
	Suspected(who string)                        // a silent "agent", or "self" when too many are
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

// The promises that are asserted while the program runs.
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

// Core is the state of one entry. It is not safe for use by several
// goroutines.
type Core struct {
	set        Settings
	count      Counter
	rng        *rand.Rand
	agents     *placement.Set
	budget     retry.Budget
	workspaces map[string]bool
	pools      map[string]bool
	digest     uint64 // of the list of holders
	peers      map[string]*peerState
	records    map[string]*record
	kept       keeper
	jobs       map[uint64]*record
	claims     map[uint64]*pending
	fetches    map[uint64]*pending
	later      []delayed
	running    int // tasks of unfinished jobs
	rate       meter
	watched    time.Time // when silent agents were last looked for
	silent     int       // agents out of use for their silence
	lastJob    uint64
	lastSeq    uint64
	stop       bool
	out        Effects
}

// peerState is what is known of a connected peer as such, whatever its role.
type peerState struct {
	incarnation string
	silent      bool // did not answer in time, and was not heard since
	heard       time.Time
	pinged      time.Time // zero when no answer is waited for
	leaving     bool      // has said so, and was answered
}

// New returns the core of an entry that starts now. rng makes its random
// choices.
func New(s Settings, c Counter, rng *rand.Rand) *Core {
	return &Core{
		set:        s,
		count:      c,
		rng:        rng,
		agents:     placement.New(s.Policy, rng),
		budget:     retry.Budget{Ratio: s.RetryRatio, Burst: s.RetryBurst},
		workspaces: nameSet(s.Workspaces),
		pools:      nameSet(s.Pools),
		digest:     claim.Assignment(s.Holders),
		peers:      make(map[string]*peerState),
		records:    make(map[string]*record),
		kept:       newKeeper(),
		jobs:       make(map[uint64]*record),
		claims:     make(map[uint64]*pending),
		fetches:    make(map[uint64]*pending),
	}
}

func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// Take returns what has to be done since the last call.
func (c *Core) Take() Effects {
	out := c.out
	c.out = Effects{}
	return out
}

// Agents returns the agents that can be reached.
func (c *Core) Agents() *placement.Set { return c.agents }

// Running returns the number of unfinished jobs and of their tasks.
func (c *Core) Running() (jobs, tasks int) { return len(c.jobs), c.running }

// Stop makes the core refuse new submissions; those it has go on.
func (c *Core) Stop() { c.stop = true }

// Idle returns whether nobody waits for anything from this entry.
func (c *Core) Idle() bool {
	return len(c.jobs) == 0 && len(c.claims) == 0 && len(c.fetches) == 0
}

// Tick does what is due at this time. It should be called every few
// milliseconds.
func (c *Core) Tick(now time.Time) {
	c.expireClaims(now)
	c.expireFetches(now)
	c.expireJobs(now)
	c.placeDue(now)
	c.watch(now)
	c.agents.DetectOutliers(now)
	c.forget(now)
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
