// Package wire defines the messages between lichenfall's own processes and
// their framing on a TCP stream.
//
// A frame consists of a length (4 bytes, big endian, counting the bytes after it), a kind
// (1 byte) and the message as a msgpack array. The reader sets the maximum length. The first
// message in each direction is Hello.
//
// The package owns the encoding and the numbers of kinds. It holds no state, does no I/O beyond
// Read, and relies on package peer for connections.
package wire

import "math"

//go:generate go tool msgp -io=false -tests=false -file messages.go -o messages_gen.go
//msgp:tuple Hello Task Place Cancel Result Load Results Ping LeaveAck
//msgp:limit arrays:4096

// Version is the version of this protocol. A connection to a peer of another version is closed
// when its Hello arrives.
const Version = 7

// Role is the role of a process.
type Role uint8

// The roles of processes.
const (
	RoleEntry Role = 1
	RoleAgent Role = 2
	// RoleCoordinator and RoleWorker belong to jobs; the roles before them, to submissions.
	RoleCoordinator Role = 3
	RoleWorker      Role = 4
	// RoleClaimant is the role of a coordinator on its connections to witnesses, which are workers.
	RoleClaimant Role = 5
)

// Hello is the first message in each direction of a connection. It describes the sender.
type Hello struct {
	Version     uint32
	Role        Role
	Box         string // name of the box, from settings
	DataCentre  string
	Incarnation string // identifies the process: unique for each start
	Address     string // where the process accepts connections from its peers
	Pool        string // agents only: the pool that its backend server serves
	Slots       uint32 // agents only
	Queue       uint32 // agents only: limit on the number of tasks that wait
	Leaving     bool   // agents only: accepts no new tasks
	Assignment  uint64 // digest of the list of claim holders
	UnixMicros  int64  // the sender's wall clock at the time of sending
}

// Task is one task of a Place message.
type Task struct {
	Index   uint32 // position within the submission, from 0
	Attempt uint32 // number of times the task has been placed, this one included
	Payload []byte // JSON
}

// Place asks an agent to queue and run tasks of one submission. The agent sends exactly one Result
// for each task while the connection lasts.
type Place struct {
	// Seq increases with each Place on a connection; duplicates are dropped.
	Seq           uint64
	Job           uint64 // the sender's number of the job; unique within its incarnation
	Submission    string
	Workspace     string
	BudgetMicros  uint64 // time left until the deadline at the time of sending
	DeadlineUnix  int64  // the deadline by the sender's clock, in microseconds
	NotRepeatable bool
	// MaxQueue is the number of tasks that may wait ahead of these; an agent with more of them
	// returns these as busy. With NoQueueLimit only the agent's own limit applies.
	MaxQueue uint32
	Tasks    []Task
}

// NoQueueLimit is the MaxQueue of tasks that may wait behind any number of others, within the
// agent's own limit.
const NoQueueLimit = math.MaxUint32

// Cancel asks an agent to drop those of a job's tasks that have not started. It arrives after the
// job's Place messages, as both are sent on the same connection.
type Cancel struct {
	Job     uint64
	Indexes []uint32
}

// Result is the outcome of one task.
type Result struct {
	Job     uint64
	Index   uint32
	Attempt uint32 // Attempt of the Task that this answers
	Kind    uint8  // a failure.Kind; None means that Body is the answer
	Ran     uint8  // a failure.Ran
	Reason  string
	Body    []byte // JSON, when Kind is None
	// RunMicros is the time from sending the task to the backend server to the answer.
	RunMicros uint64
}

// Load is an agent's load at the time at which it sends the Results that contain it.
type Load struct {
	Queued  uint32 // tasks that wait, from all entries
	Running uint32 // tasks that run, from all entries
	Mine    uint32 // tasks that wait or run, from the receiver of this message
	Slots   uint32
	Leaving bool
}

// Results carries the outcomes of tasks of any number of jobs, and the agent's load.
type Results struct {
	Load  Load
	Items []Result
}

// Ping asks an agent for a Results message, which may have no items.
type Ping struct{}

// LeaveAck acknowledges the first Results with Load.Leaving set. The sender sends no Place after it
// on this connection.
type LeaveAck struct{}
