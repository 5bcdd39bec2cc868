// Package wire defines the messages between lichenfall's own processes and
// their framing on a TCP stream.
//
// A frame is a length (4 bytes, big endian, counting what follows), a kind
// (1 byte) and the message as a msgpack array. The length is bounded by the
// reader. The first message in each direction is Hello.
package wire

import "math"

//go:generate go tool msgp -io=false -tests=false -file messages.go -o messages_gen.go
//msgp:tuple Hello Task Place Cancel Result Load Results Ping LeaveAck
//msgp:limit arrays:4096

// Version is the version of this protocol. Peers of another version are
// refused at Hello.
const Version = 7

// Role says what a process is.
type Role uint8

// The roles of processes.
const (
	RoleEntry Role = 1
	RoleAgent Role = 2
	// RoleCoordinator and RoleWorker are those of kept jobs.
	RoleCoordinator Role = 3
	RoleWorker      Role = 4
)

// Hello opens a connection in each direction.
type Hello struct {
	Version     uint32
	Role        Role
	Box         string // name of the box, from settings
	DataCentre  string
	Incarnation string // unique for each start of a process
	Address     string // where the process listens for its peers
	Pool        string // agents only: the pool that its backend server serves
	Slots       uint32 // agents only
	Queue       uint32 // agents only: tasks that may wait
	Leaving     bool   // agents only: takes no new work
	Assignment  uint64 // digest of the list of claim holders
	UnixMicros  int64  // the sender's wall clock, when sent
}

// Task is one task of a Place message.
type Task struct {
	Index   uint32 // position within the submission, from 0
	Attempt uint32 // counts the placings of the task, from 1
	Payload []byte // JSON
}

// Place asks an agent to queue and run tasks of one submission. Each task is
// answered by exactly one Result as long as the connection lasts.
type Place struct {
	// Seq rises with each Place on a connection; a copy of one is dropped.
	Seq           uint64
	Job           uint64 // the sender's number for the job; unique in its incarnation
	Submission    string
	Workspace     string
	BudgetMicros  uint64 // time left until the deadline, when sent
	DeadlineUnix  int64  // the deadline by the sender's clock, in microseconds
	NotRepeatable bool
	// MaxQueue is the number of tasks that may wait ahead of these; an agent
	// with more hands them back as busy. NoQueueLimit leaves it to the agent.
	MaxQueue uint32
	Tasks    []Task
}

// NoQueueLimit is the MaxQueue of tasks that are to wait however long the
// agent's queue is, within its own bound.
const NoQueueLimit = math.MaxUint32

// Cancel asks an agent to give up those tasks of a job that have not started.
// It cannot overtake the Place on its connection.
type Cancel struct {
	Job     uint64
	Indexes []uint32
}

// Result is an agent's word on one task.
type Result struct {
	Job     uint64
	Index   uint32
	Attempt uint32 // of the placing that is answered
	Kind    uint8  // a failure.Kind; None means that Body is the answer
	Ran     uint8  // a failure.Ran
	Reason  string
	Body    []byte // JSON, when Kind is None
	// RunMicros is how long the backend server held the task.
	RunMicros uint64
}

// Load is an agent's state as of the moment it answers; it rides on answers.
type Load struct {
	Queued  uint32 // tasks waiting, of all entries
	Running uint32 // tasks started, of all entries
	Mine    uint32 // of both, those that the receiver placed
	Slots   uint32
	Leaving bool
}

// Results carries finished tasks of any number of jobs, and the agent's load.
type Results struct {
	Load  Load
	Items []Result
}

// Ping asks an agent for a Results message, be it without items.
type Ping struct{}

// LeaveAck answers the first Results that calls the agent leaving: no Place
// comes after it on this connection.
type LeaveAck struct{}
