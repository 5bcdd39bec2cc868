package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Identity describes one life of the backend server.
type Identity struct {
	Instance string // changes with each life
	Service  string
	Ready    bool // neither draining nor leaving
	Capacity durable.Resources
	Labels   []string
}

// same returns whether the two say the same.
func (id *Identity) same(o *Identity) bool {
	return id.Instance == o.Instance && id.Service == o.Service && id.Ready == o.Ready &&
		id.Capacity == o.Capacity && slices.Equal(id.Labels, o.Labels)
}

// told returns what owners are told of it.
func (id *Identity) told() *wire.BackendIdentity {
	return &wire.BackendIdentity{Instance: id.Instance, Service: id.Service, Capacity: id.Capacity, Labels: id.Labels}
}

// StartResult is the backend server's answer to an order to start.
type StartResult uint8

// The results of an order to start. All but StartAccepted mean that nothing
// was done.
const (
	StartUnknown   StartResult = iota // no answer: it may be carried out, also later
	StartAccepted                     // it runs, or did already
	StartFenced                       // a higher fencing token has been seen
	StartOld                          // the run number was used before
	StartLate                         // the lease asked for was over already
	StartNoRoom                       // it does not fit
	StartUnhealthy                    // the backend server takes nothing now
	StartInvalid                      // it does not understand the order
	StartWrongLife                    // another life answered
	StartDead                         // nothing listens: the life is over
)

var startReasons = [...]string{"unknown", "accepted", "fenced", "old", "late", "no_room", "unhealthy", "invalid", "wrong_life", "dead"}

// String returns the result as a word for logs and labels.
func (r StartResult) String() string { return startReasons[r] }

// StartCall is an order to start a run.
type StartCall struct {
	Instance   string
	Ref        wire.RunRef
	Spec       string
	Deadline   time.Duration // the lease's end on the backend server's clock
	Token      uint64        // fencing token
	Checkpoint string
}

// StopCall is an order to stop a run, or to see that it never starts.
type StopCall struct {
	Instance string
	Ref      wire.RunRef
	Token    uint64
}

// HoldCall renews the lease of all that runs and asks for news.
type HoldCall struct {
	Instance string
	Seq      uint64        // rises with each call
	Deadline time.Duration // the lease's end on the backend server's clock
	Token    uint64
	LastSeen uint64        // ends up to this number may be forgotten
	Wait     time.Duration // how long the answer may wait for an end
}

// HoldResult says how a HoldCall went.
type HoldResult uint8

// The results of a HoldCall.
const (
	HoldUnknown HoldResult = iota // no answer
	HoldOK
	HoldFenced
	HoldWrongLife
	HoldDead // nothing listens there
)

// ListedRun is a run that the backend server calls running.
type ListedRun struct {
	Ref        wire.RunRef
	Checkpoint string
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

// HoldAnswer is what a HoldCall returns.
type HoldAnswer struct {
	Result  HoldResult
	Clock   time.Duration // of the backend server, when Result is HoldOK or HoldFenced
	Running []ListedRun
	Ended   []ListedEnd
}
