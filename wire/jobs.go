package wire

import (
	"math"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

//go:generate go tool msgp -io=false -tests=false -file jobs.go -o jobs_gen.go
//msgp:tuple PartitionEpoch OwnerHeartbeat Evacuations BackendIdentity WorkerStatus RunRef RunOrder RunEnd StartRuns StopRuns RunEnds EndsKept PartitionRuns JobCall JobReply QueueCount QueueCounts HandOver RunsQuery RunNeed RunNeeds TaskCrash CrashReport KeepAlive KeepAliveAck RecordedBackend CapacityRequest RoomWait WaitingWork
//msgp:limit arrays:65536

// PartitionEpoch says that the sender owns a partition, with the fencing epoch
// under which it does.
type PartitionEpoch struct {
	Partition uint32
	Epoch     uint64
}

// OwnerHeartbeat renews a coordinator's leases at a worker: of its partitions'
// tasks there. A new epoch fences all earlier owners of the partition.
type OwnerHeartbeat struct {
	Seq uint64 // rises with each heartbeat on a connection
	// Echo is the newest Stamp that the sender has received. The leases count
	// from it, so that a heartbeat that was long on its way renews nothing.
	Echo       int64
	Partitions []PartitionEpoch
	// Confirmed says that the store has told the sender that the partitions are its own,
	// in answer to a question that was asked after this connection was made. Without it
	// the heartbeat keeps what runs, and nothing may be ordered: a worker that has just
	// begun knows of no later owner.
	Confirmed bool
	// Evacuations is what the sender knows of them; nil while it knows nothing.
	Evacuations *Evacuations
}

// Evacuations are the data centres in which operators want no task started.
type Evacuations struct {
	Offset      uint64 // how far the operators' records had been read; a higher one is newer
	AgeMS       uint32 // since the store last told the sender that nothing is newer
	DataCentres []string
}

// BackendIdentity describes one life of a worker's backend server.
type BackendIdentity struct {
	Instance string // changes with each life
	Service  string
	Capacity durable.Resources
	Labels   []string
}

// WorkerStatus is a worker's state. It answers a heartbeat, and is sent when
// something has changed.
type WorkerStatus struct {
	Stamp        int64             // the worker's steady clock in microseconds, never 0
	HeartbeatSeq uint64            // the newest heartbeat that was handled
	StartSeq     uint64            // the newest StartRuns that was handled
	Ready        bool              // takes new tasks
	Free         durable.Resources // after what runs there; may be negative
	// TimeFactor is the usual time of runs there over their estimates, in percent: 160 on a
	// slow server; 0 if not known.
	TimeFactor uint32
	// Slowness is the time of the latest runs over what is usual there, in percent; 0 if not
	// known.
	Slowness uint32
	Failing  uint32           // share of its latest runs that failed, smoothed, in percent
	Fenced   []uint32         // partitions of the receiver that another owner has claimed
	Identity *BackendIdentity // nil while it is that of the last status on the connection
	// Waiting is the work that waits here for room at other coordinators than the receiver,
	// by priority and turn; empty while nobody else asks.
	Waiting []WaitingWork
}

// WaitingWork is the work of one priority that coordinators wait to start at a worker. What is
// left of jobs that have begun has turns far in the past, what is overdue far in the future; they
// are told apart from what is on time.
type WaitingWork struct {
	Priority int32 // of the queues; 0 comes first
	// FirstMS and LastMS are the turns of the first and the last task, in milliseconds from
	// the moment of sending; negative once they have passed.
	FirstMS int64
	LastMS  int64
	// Work is the worker's share of the work that waits, by the estimates, in
	// thousandths of a core times milliseconds.
	Work int64
}

// CapacityRequest tells a worker what waits for room at a coordinator, because it fits nowhere
// now. It binds nobody: the worker tells the coordinator of free room in a status, in the
// order of the turns of all who ask, and keeps that room for a moment (a grant). An ask
// replaces the one before; one without Waits withdraws it.
type CapacityRequest struct {
	Seq   uint64 // rises with each CapacityRequest on a connection
	Seen  int64  // the Stamp of the newest status that was handled: grants up to it are used as far as they can be
	Waits []RoomWait
}

// MaxWaits is how many Waits of a CapacityRequest are taken, the first ones.
const MaxWaits = 8

// RoomWait is what waits of one priority, of about one size, and has begun or not: an ask may
// have several of a priority.
type RoomWait struct {
	WaitingWork
	Need  durable.Resources // of the first task
	Tasks uint32            // how many tasks wait
}

// RunRef names one run of a task.
type RunRef struct {
	Task durable.TaskID
	Run  uint32
}

// BestEffortRun is the number above which the runs of best-effort jobs are
// numbered, so that a worker knows them from those of kept jobs, also when an
// earlier process started them.
const BestEffortRun = 1 << 30

// BestEffort returns whether the run is one of a best-effort job.
func (r RunRef) BestEffort() bool { return r.Run > BestEffortRun }

// RunOrder asks for one run of a task.
type RunOrder struct {
	Ref        RunRef
	Epoch      uint64 // of the owner of the task's partition
	BestEffort bool   // the job is not kept; the sender owns it while it lives
	Spec       string
	Need       durable.Resources
	Checkpoint string
	EstimateMS int64 // how long the run is thought to take; 0 if that is not known
	LimitMS    int64 // a run that takes longer is a straggler, and stopped; 0 sets no limit
	// Crashes is how many runs of the task were lost with a backend server that crashed.
	Crashes uint32
}

// End says how a run ended.
type End uint8

// The ends of runs.
const (
	EndDone      End = 1
	EndFailed    End = 2 // by its own fault or the backend server's
	EndStopped   End = 3 // on our order
	EndLapsed    End = 4 // its lease was not renewed
	EndLost      End = 5 // the backend server's life is over, as it had said before
	EndNotRun    End = 6 // it never began and never will
	EndStraggled End = 7 // stopped by the worker, since it was over its limit
	EndCrashed   End = 8 // the backend server's life ended under it without a word
)

// String returns the end's name.
func (e End) String() string {
	switch e {
	case EndDone:
		return "done"
	case EndFailed:
		return "failed"
	case EndStopped:
		return "stopped"
	case EndLapsed:
		return "lapsed"
	case EndLost:
		return "lost"
	case EndStraggled:
		return "straggled"
	case EndCrashed:
		return "crashed"
	}
	return "not_run"
}

// RunEnd is the end of one run.
type RunEnd struct {
	Ref        RunRef
	How        uint8 // an End
	Checkpoint string
	RunMS      int64  // how long the worker saw it running
	Reason     string // of EndNotRun, EndLost and EndCrashed
	// Instance is the life of the backend server: of EndCrashed, and of EndLapsed where the
	// server was silent and so may have crashed.
	Instance string
	// Begun says of EndCrashed that the run was at work; without it, its start had no
	// answer yet.
	Begun bool
	// Alone says of EndCrashed that no other run there was of a task with Crashes.
	Alone bool
}

// StartRuns asks a worker to run tasks as soon as they fit.
type StartRuns struct {
	Seq  uint64 // rises with each StartRuns on a connection
	Seen int64  // the Stamp of the newest status that was handled, as in CapacityRequest
	Runs []RunOrder
}

// StopRuns asks a worker to stop runs.
type StopRuns struct {
	Runs []RunRef
}

// RunEnds tells ends of runs. Those that the backend server remembers are told
// again after each reconnection, until EndsKept.
type RunEnds struct {
	Ends []RunEnd
}

// EndsKept says that the ends are in the store, or will never matter.
type EndsKept struct {
	Runs []RunRef
}

// PartitionRuns is all that a worker knows of a partition's tasks at one
// moment. It follows the first heartbeat of an epoch on a connection.
type PartitionRuns struct {
	Partition uint32
	Epoch     uint64
	StartSeq  uint64   // the newest StartRuns that was handled before
	Running   []RunRef // running, waiting or being stopped
	Ended     []RunEnd // not yet called kept
}

// CallKind is what a JobCall asks for.
type CallKind uint8

// The kinds of JobCall.
const (
	CallSubmit CallKind = 1
	CallState  CallKind = 2
	CallCancel CallKind = 3
)

// JobCall passes a caller's request on to the owner of the job's partition.
type JobCall struct {
	Seq        uint64
	Kind       uint8 // a CallKind
	ID         durable.JobID
	Submission *durable.Submission // of CallSubmit
	BudgetMS   int64               // how long the caller waits; 0 when that is not known
}

// JobReply answers a JobCall.
type JobReply struct {
	Seq     uint64
	Failure uint8 // a failure.Kind; None if all is well
	State   uint8 // a durable.State
	RetryMS int64 // when to come back, with a Failure
}

// QueueCount is the number of a queue's jobs that wait, none of whose tasks
// has begun.
type QueueCount struct {
	Queue string
	Jobs  uint32
}

// QueueCounts tells other coordinators of the sender's waiting jobs, of the
// partitions that it owns, and of best-effort jobs that it has had for so long
// that their callers may send them again elsewhere.
type QueueCounts struct {
	Partitions []PartitionEpoch
	Counts     []QueueCount
	BestEffort []durable.JobID
}

// BestEffortRuns is the Partition of a PartitionRuns that answers RunsQuery.
const BestEffortRuns = math.MaxUint32

// RunsQuery asks what became of runs of best-effort jobs that were ordered over
// an earlier connection. It is answered by a PartitionRuns; a run that is in
// neither of its lists does not run and never will. Any other that the sender has ordered
// before is stopped.
type RunsQuery struct {
	Runs []RunRef
}

// HandOver asks other coordinators to look at once which partitions are theirs.
type HandOver struct{}

// RunNeed says what one run takes of its backend server.
type RunNeed struct {
	Ref  RunRef
	Need durable.Resources
}

// RunNeeds tells a worker what runs take that it listed in a PartitionRuns and that
// the sender wants: a worker that found them when it started cannot know.
type RunNeeds struct {
	Runs []RunNeed
}

// TaskCrash is a backend server that crashed under a run of a best-effort job's task.
type TaskCrash struct {
	Task     durable.TaskID
	Instance string // the life of the backend server
	Begun    bool   // the run was at work; else its start had no answer yet
	GivenUp  bool   // the job was given up for it
	// Suspected says that nothing but the server's silence speaks for a crash.
	Suspected bool
}

// CrashReport tells other coordinators of crashes under best-effort jobs: a caller without an
// answer may send the job again to any of them.
type CrashReport struct {
	Crashes []TaskCrash
}

// RecordedBackend tells a worker what the store has of its backend server. It is the first
// message of a coordinator that has connected.
type RecordedBackend struct {
	Instance string // with Born, the life that it was
	Born     int64  // milliseconds since 1970; 0 where backend servers do not tell
	Service  string
	Ready    bool
	Capacity durable.Resources
	Labels   []string
}

// KeepAlive asks the peer to say something. Package peer sends and answers it; no
// handler sees it.
type KeepAlive struct{}

// KeepAliveAck answers a KeepAlive.
type KeepAliveAck struct{}
