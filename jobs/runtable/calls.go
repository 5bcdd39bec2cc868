package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// StartResult is the outcome of an order to the backend server to start a run.
type StartResult uint8

// The results of an order to start. All but StartUnknown and StartAccepted mean that the order
// had no effect.
const (
	StartUnknown           StartResult = iota // no answer: it may be carried out now or later
	StartAccepted                             // the run has started, or had before
	StartFenced                               // the backend server has seen a higher fencing token
	StartRunNumberUsed                        // the run number was used before
	StartLeaseExpired                         // the requested lease had already expired
	StartNoRoom                               // the task does not fit
	StartUnhealthy                            // the backend server accepts no orders now
	StartInvalid                              // the order is malformed
	StartWrongIncarnation                     // another incarnation answered
	StartConnectionRefused                    // the connection was refused
)

var startReasons = [...]string{"unknown", "accepted", "fenced", "old", "late", "no_room", "unhealthy", "invalid", "wrong_life", "dead"}

// String returns the result as a word for logs and labels.
func (r StartResult) String() string { return startReasons[r] }

// StartCall is an order to start a run.
type StartCall struct {
	Instance   string // with Born, the incarnation that is meant
	Born       int64
	Ref        wire.RunRef
	Spec       string
	Deadline   time.Duration // end of the lease on the backend server's clock
	Token      uint64        // fencing token
	Checkpoint string
}

// StopCall is an order to stop a run, or to prevent its start.
type StopCall struct {
	Instance string // with Born, the incarnation that is meant
	Born     int64
	Ref      wire.RunRef
	Token    uint64
}

// RenewCall renews the lease under which all runs are running, and requests the lists of runs and
// ends.
type RenewCall struct {
	Instance     string // with Born, the incarnation that is meant
	Born         int64
	Seq          uint64        // rises with each call
	Deadline     time.Duration // end of the lease on the backend server's clock
	Token        uint64
	LastSeen     uint64        // ends up to this number may be forgotten
	Wait         time.Duration // how long the backend server may wait for an end before it answers
	OverdueAfter time.Duration // how long after Wait the next call is made without this answer
	Limit        time.Duration // timeout, counted from the end of Wait
}

// RenewResult is the outcome of a RenewCall.
type RenewResult uint8

// The results of a RenewCall.
const (
	RenewUnanswered RenewResult = iota // no answer
	RenewOK
	RenewFenced
	RenewWrongIncarnation
	// RenewRestarted is the answer of a later incarnation with the same instance ID. It may have
	// carried out this call, and others that were meant for the previous incarnation.
	RenewRestarted
	RenewConnectionRefused // the connection was refused
)

// ListedRun is a run that the backend server lists as running.
type ListedRun struct {
	Ref        wire.RunRef
	Checkpoint string
	Percent    int // progress; 0 for all runs if the backend server reports none
}

// ListedEnd is an end that the backend server remembers.
type ListedEnd struct {
	Number     uint64 // rises from 1 in each incarnation
	Task       string // the task's name at the backend server
	Ref        wire.RunRef
	Valid      bool // whether Task was parsed into Ref
	How        wire.End
	Checkpoint string
}

// RenewAnswer is the answer to a RenewCall.
type RenewAnswer struct {
	Result  RenewResult
	Clock   time.Duration // the backend server's clock, if Result is RenewOK or RenewFenced
	Running []ListedRun
	Ended   []ListedEnd
	// MoreRunning and MoreEnded say that there may be runs or ends that the lists do not have. The
	// backend server lists further ends once some that it has listed are acknowledged.
	MoreRunning bool
	MoreEnded   bool
}

// Incarnation returns the incarnation that the call is meant for.
func (c *StartCall) Incarnation() Incarnation { return Incarnation{c.Instance, c.Born} }

// Incarnation returns the incarnation that the call is meant for.
func (c *StopCall) Incarnation() Incarnation { return Incarnation{c.Instance, c.Born} }

// Incarnation returns the incarnation that the call is meant for.
func (c *RenewCall) Incarnation() Incarnation { return Incarnation{c.Instance, c.Born} }
