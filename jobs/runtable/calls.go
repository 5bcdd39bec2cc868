package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// StartResult is the backend server's answer to an order to start.
type StartResult uint8

// The results of an order to start. All but StartAccepted mean that nothing
// was done.
const (
	StartUnknown           StartResult = iota // no answer: it may be carried out, also later
	StartAccepted                             // it runs, or did already
	StartFenced                               // a higher fencing token has been seen
	StartRunNumberUsed                        // the run number was used before
	StartLeaseExpired                         // the lease asked for was over already
	StartNoRoom                               // it does not fit
	StartUnhealthy                            // the backend server takes nothing now
	StartInvalid                              // it does not understand the order
	StartWrongIncarnation                     // another life answered
	StartConnectionRefused                    // the connection was refused
)

var startReasons = [...]string{"unknown", "accepted", "fenced", "old", "late", "no_room", "unhealthy", "invalid", "wrong_life", "dead"}

// String returns the result as a word for logs and labels.
func (r StartResult) String() string { return startReasons[r] }

// StartCall is an order to start a run.
type StartCall struct {
	Instance   string // with Born, the life that is meant
	Born       int64
	Ref        wire.RunRef
	Spec       string
	Deadline   time.Duration // the lease's end on the backend server's clock
	Token      uint64        // fencing token
	Checkpoint string
}

// StopCall is an order to stop a run, or to see that it never starts.
type StopCall struct {
	Instance string // with Born, the life that is meant
	Born     int64
	Ref      wire.RunRef
	Token    uint64
}

// RenewCall renews the lease of all that runs and asks for news.
type RenewCall struct {
	Instance     string // with Born, the life that is meant
	Born         int64
	Seq          uint64        // rises with each call
	Deadline     time.Duration // the lease's end on the backend server's clock
	Token        uint64
	LastSeen     uint64        // ends up to this number may be forgotten
	Wait         time.Duration // how long the answer may wait at the backend server for an end
	OverdueAfter time.Duration // how long it may take beyond Wait before another call is made beside
	Limit        time.Duration // how long the answer may take beyond Wait
}

// RenewResult says how a RenewCall went.
type RenewResult uint8

// The results of a RenewCall.
const (
	RenewUnanswered RenewResult = iota // no answer
	RenewOK
	RenewFenced
	RenewWrongIncarnation
	// RenewRestarted is the answer of a later life that goes by the same ID: it may have
	// carried out the call, and others that were meant for the life before.
	RenewRestarted
	RenewConnectionRefused // the connection was refused
)

// ListedRun is a run that the backend server calls running.
type ListedRun struct {
	Ref        wire.RunRef
	Checkpoint string
	Percent    int // how far it has come; 0 for all where the backend server does not tell
}

// ListedEnd is an end that the backend server remembers.
type ListedEnd struct {
	Number     uint64 // rises from 1 in each life
	Task       string // as the backend server names it
	Ref        wire.RunRef
	Valid      bool // whether Task could be read into Ref
	How        wire.End
	Checkpoint string
}

// RenewAnswer is what a RenewCall returns.
type RenewAnswer struct {
	Result  RenewResult
	Clock   time.Duration // of the backend server, when Result is RenewOK or RenewFenced
	Running []ListedRun
	Ended   []ListedEnd
}

// Incarnation returns the life that the call is meant for.
func (c *StartCall) Incarnation() Incarnation { return Incarnation{c.Instance, c.Born} }

// Incarnation returns the life that the call is meant for.
func (c *StopCall) Incarnation() Incarnation { return Incarnation{c.Instance, c.Born} }

// Incarnation returns the life that the call is meant for.
func (c *RenewCall) Incarnation() Incarnation { return Incarnation{c.Instance, c.Born} }
