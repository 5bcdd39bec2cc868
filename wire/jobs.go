package wire

import (
	"math"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

//go:generate go tool msgp -io=false -tests=false -file jobs.go -o jobs_gen.go
//msgp:tuple PartitionEpoch OwnerHeartbeat Evacuations BackendIdentity WorkerStatus RunRef RunOrder RunEnd StartRuns StopRuns RunEnds EndsKept PartitionRuns JobCall JobReply QueueCount QueueCounts HandOver EndTerms TermsEnded RunsQuery RunNeed RunNeeds ReportPending TaskCrash CrashReport KeepAlive KeepAliveAck RecordedBackend CapacityRequest WaitingGroup WaitingWork JobClaims DeniedClaim JobClaimsReply
//msgp:limit arrays:65536

// PartitionEpoch names one ownership of a partition, a term, by its fencing epoch.
type PartitionEpoch struct {
	Partition uint32
	Epoch     uint64
}

// OwnerHeartbeat renews a coordinator's leases on the tasks of its partitions at a worker. A new
// epoch fences all earlier owners of the partition.
type OwnerHeartbeat struct {
	Seq uint64 // increases with each heartbeat on a connection
	// Echo is the Stamp of the newest WorkerStatus that the sender has received. The leases
	// run from that time, so that a heartbeat that was delayed on its way renews nothing.
	Echo       int64
	Partitions []PartitionEpoch
	// Confirmed is set once the store has confirmed, by its answer to a request made after
	// this connection, that the sender owns the partitions. Until then heartbeats keep
	// existing runs alive, and the sender may not order new ones: a worker that has just
	// started does not know of an owner with a later epoch.
	Confirmed bool
	// Evacuations is the newest state that the sender has read; nil if it has read none.
	Evacuations *Evacuations
}

// Evacuations lists the data centres in which no task may be started, by order of the operators.
type Evacuations struct {
	Offset      uint64 // read position in the operators' records; a higher one is newer
	AgeMS       uint32 // time since the store last confirmed to the sender that this is the newest state
	DataCentres []string
}

// BackendIdentity describes one incarnation of a worker's backend server.
type BackendIdentity struct {
	Instance string // differs for each incarnation
	Service  string
	Capacity durable.Resources
	Labels   []string
}

// WorkerStatus is a worker's state. It is sent in reply to a heartbeat and on each change.
type WorkerStatus struct {
	Stamp        int64             // the worker's monotonic clock in microseconds, never 0
	HeartbeatSeq uint64            // Seq of the newest heartbeat that was handled
	StartSeq     uint64            // Seq of the newest StartRuns that was handled
	Ready        bool              // accepts new tasks
	Free         durable.Resources // free capacity beside the runs there; may be negative
	// TimeFactor is the baseline duration of runs on the backend server as a percentage of
	// their estimates: 160 if they take 1.6 times as long; 0 if unknown.
	TimeFactor uint32
	// Slowness is the duration of the latest runs as a percentage of the baseline; 0 if unknown.
	Slowness uint32
	Failing  uint32           // smoothed share of the latest runs that failed, in percent
	Fenced   []uint32         // the receiver's partitions for which the worker knows a later owner
	Identity *BackendIdentity // nil if unchanged since the previous status on the connection
	// Waiting is the work that waits for capacity of this worker at coordinators other than the
	// receiver, by priority and virtual deadline; empty while no other coordinator requests
	// capacity.
	Waiting []WaitingWork
}

// WaitingWork is the work of one priority that coordinators have waiting for capacity of a worker.
// Virtual deadlines order the tasks, earliest first. The remaining tasks of jobs that have started
// have virtual deadlines far in the past, overdue tasks have them far in the future; both are
// reported separately from tasks that are on time.
type WaitingWork struct {
	Priority int32 // of the jobs' queues; 0 is the highest
	// FirstMS and LastMS are the virtual deadlines of the first and the last task, in
	// milliseconds after the time of sending; negative for those in the past.
	FirstMS int64
	LastMS  int64
	// Work is the part of the waiting work that falls to this worker, by the tasks'
	// estimates, in thousandths of a core times milliseconds.
	Work int64
}

// CapacityRequest lists a coordinator's tasks that wait for free capacity, because they fit on no
// worker now. The worker advertises free capacity to the requesting coordinators in WorkerStatus,
// in the order of the virtual deadlines of all of them, and reserves it for a short time (a grant).
// The coordinator need not use a grant. A request replaces the previous one; one without Waits
// withdraws it.
type CapacityRequest struct {
	Seq uint64 // increases with each CapacityRequest on a connection
	// Seen is the Stamp of the newest status that the sender has handled. It will not use the
	// grants that were advertised up to that status any more.
	Seen  int64
	Waits []WaitingGroup
}

// MaxWaits is how many of the Waits of a CapacityRequest a worker takes into account; it ignores
// the rest.
const MaxWaits = 8

// WaitingGroup describes waiting tasks of one priority and of similar size, whose jobs have all
// started or have all not started. A request may have several groups of one priority.
type WaitingGroup struct {
	WaitingWork
	Need  durable.Resources // of the first task
	Tasks uint32            // number of tasks
}

// RunRef identifies one run of a task.
type RunRef struct {
	Task durable.TaskID
	Run  uint32
}

// BestEffortRun is the number above which the runs of best-effort jobs are numbered, so that a
// worker can distinguish them from the runs of durable jobs, even if an earlier worker process
// started them.
const BestEffortRun = 1 << 30

// BestEffort reports whether the run belongs to a best-effort job.
func (r RunRef) BestEffort() bool { return r.Run > BestEffortRun }

// RunOrder is a request to start one run of a task.
type RunOrder struct {
	Ref        RunRef
	Epoch      uint64 // of the owner of the task's partition
	BestEffort bool   // the job is not stored; the sender owns it as long as the sender's process lives
	Spec       string
	Need       durable.Resources
	Checkpoint string
	EstimateMS int64 // estimated duration of the run; 0 if unknown
	LimitMS    int64 // the worker stops a run that takes longer, as a straggler; 0 sets no limit
	// Crashes is the number of the task's runs that were lost when their backend server
	// crashed.
	Crashes uint32
}

// End is the way in which a run ended.
type End uint8

// The ends of runs.
const (
	EndDone      End = 1
	EndFailed    End = 2 // failed by itself or in the backend server
	EndStopped   End = 3 // on the coordinator's request
	EndLapsed    End = 4 // its lease was not renewed
	EndLost      End = 5 // the backend server's process ended, after it had announced that
	EndNotRun    End = 6 // it has not started and never will
	EndStraggled End = 7 // stopped by the worker because it exceeded RunOrder.LimitMS
	EndCrashed   End = 8 // the backend server's process ended during the run, unannounced
	// EndSuspected is the end of a run whose lease is over and whose backend server refused
	// connections until then. The server may have crashed. An EndCrashed follows if its next
	// incarnation shows that it has.
	EndSuspected End = 9
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
	case EndSuspected:
		return "suspected"
	}
	return "not_run"
}

// RunEnd is the end of one run.
type RunEnd struct {
	Ref        RunRef
	How        uint8 // an End
	Checkpoint string
	RunMS      int64  // duration of the run as observed by the worker
	Reason     string // for EndNotRun, EndLost, EndCrashed and EndSuspected
	// Instance is the incarnation of the backend server: for EndCrashed and EndSuspected, and for
	// EndLapsed if the server was silent and so may have crashed.
	Instance string
	// Begun is set for EndCrashed and EndSuspected if the backend server had acknowledged the start of the run.
	Begun bool
	// Alone is set for EndCrashed and EndSuspected if this was the only run on the backend server whose task
	// has, or may have, had a crash before (RunOrder.Crashes).
	Alone bool
}

// StartRuns asks a worker to start runs as soon as it has the capacity.
type StartRuns struct {
	Seq  uint64 // increases with each StartRuns on a connection
	Seen int64  // Stamp of the newest status that the sender has handled, as in CapacityRequest
	Runs []RunOrder
}

// StopRuns asks a worker to stop runs.
type StopRuns struct {
	Runs []RunRef
}

// RunEnds reports ends of runs. The worker reports those that the backend server still lists again
// after each reconnection, until they are acknowledged by EndsKept.
type RunEnds struct {
	Ends []RunEnd
}

// EndsKept acknowledges ends of runs: they are in the store, or need not be stored.
type EndsKept struct {
	Runs []RunRef
}

// PartitionRuns lists all runs and ends that a worker knows of a partition's tasks. It is sent in
// reply to the first heartbeat of an epoch on a connection.
type PartitionRuns struct {
	Partition uint32
	Epoch     uint64
	StartSeq  uint64   // Seq of the newest StartRuns that was handled before
	Running   []RunRef // runs that run, wait for capacity or are being stopped
	Ended     []RunEnd // not yet acknowledged by EndsKept
}

// ReportPending tells the owner of a partition that the sender will send its PartitionRuns later,
// and that its heartbeats keep runs of the partition alive meanwhile. It is sent in reply to each
// such heartbeat.
type ReportPending struct {
	Partition uint32
	Epoch     uint64
}

// CallKind is the operation that a JobCall requests.
type CallKind uint8

// The kinds of JobCall.
const (
	CallSubmit CallKind = 1
	CallState  CallKind = 2
	CallCancel CallKind = 3
	// CallCancelBestEffort asks a coordinator to cancel a best-effort job that its callers wait for there.
	CallCancelBestEffort CallKind = 4
)

// JobCall forwards a caller's request to the coordinator that owns the job's partition, or has the job.
type JobCall struct {
	Seq        uint64
	Kind       uint8 // a CallKind
	ID         durable.JobID
	Submission *durable.Submission // for CallSubmit
	BudgetMS   int64               // how long the caller waits for an answer; 0 if unknown
}

// JobReply answers a JobCall.
type JobReply struct {
	Seq     uint64
	Failure uint8 // a failure.Kind; None on success
	State   uint8 // a durable.State
	RetryMS int64 // with a Failure: time after which the caller should retry
}

// QueueCount is the number of waiting jobs in a queue, those of which no task has started.
type QueueCount struct {
	Queue string
	Jobs  uint32
}

// QueueCounts announces to other coordinators the numbers of the sender's waiting jobs, the
// partitions that it owns, and the best-effort jobs that it has held for so long that their callers
// may send them again to another coordinator.
type QueueCounts struct {
	Partitions []PartitionEpoch
	Counts     []QueueCount
	BestEffort []durable.JobID
}

// BestEffortRuns is the Partition of a PartitionRuns that is the reply to a RunsQuery.
const BestEffortRuns = math.MaxUint32

// RunsQuery asks a worker for the state of runs of best-effort jobs that the sender ordered over an
// earlier connection. The reply is a PartitionRuns; a run that is in neither of its lists does not
// run and never will. The worker stops all other runs that the sender ordered before and that the
// query does not name.
type RunsQuery struct {
	Runs []RunRef
}

// HandOver asks other coordinators to check at once which partitions they own.
type HandOver struct{}

// EndTerms asks a coordinator to end terms of its address at once, since the sender owns the partitions
// in later ones. The reply is a TermsEnded.
type EndTerms struct {
	Terms []PartitionEpoch
}

// TermsEnded states that the terms of the sender's address have ended, so that no heartbeat is sent in
// them any more. It answers EndTerms, and is also sent at a planned stop.
type TermsEnded struct {
	Terms []PartitionEpoch
}

// RunNeed is the capacity that one run takes of its backend server.
type RunNeed struct {
	Ref  RunRef
	Need durable.Resources
}

// RunNeeds gives a worker the needs of runs that it listed in a PartitionRuns and that the sender
// keeps: a worker that found them on the backend server when it started does not know their needs.
type RunNeeds struct {
	Runs []RunNeed
}

// TaskCrash reports that a backend server crashed during a run of a best-effort job's task.
type TaskCrash struct {
	Task     durable.TaskID
	Instance string // the incarnation of the backend server
	Begun    bool   // the backend server had acknowledged the start of the run
	GivenUp  bool   // the job was given up because of this crash
	// Suspected is set if the server only became silent, so that the crash is an assumption.
	Suspected bool
}

// CrashReport reports crashes during runs of best-effort jobs to the other coordinators: a caller
// without an answer may send its job again to any of them.
type CrashReport struct {
	Crashes []TaskCrash
}

// RecordedBackend gives a worker the store's record of its backend server. It is the first message
// that a coordinator sends on a new connection, after Hello.
type RecordedBackend struct {
	Instance string // with Born, the recorded incarnation
	Born     int64  // start of that incarnation, in milliseconds since 1970; 0 if backend servers do not report it
	Service  string
	Ready    bool
	Capacity durable.Resources
	Labels   []string
}

// JobClaims has a worker that is a witness record which best-effort jobs the sender is about to run or
// runs. Jobs are named by durable.JobID.Number. A message without any list tells the witness that the
// sender still runs.
type JobClaims struct {
	Seq uint64 // increases with each JobClaims on a connection
	// Complete is set in the first message on a connection: Claims then lists all claims that the
	// sender has with the witness, and any other one is withdrawn.
	Complete  bool
	Withdrawn []uint64 // jobs that have ended, or will not run; they precede Claims
	Claims    []uint64
}

// DeniedClaim says that another coordinator has claimed the job.
type DeniedClaim struct {
	Job    uint64
	Holder string // address of that coordinator
}

// JobClaimsReply answers a JobClaims that has Claims. The claims that it does not name are granted.
type JobClaimsReply struct {
	Seq uint64 // of the JobClaims
	// Unsure is set by a witness that has started so recently that it may lack claims of others. It
	// has recorded the claims, but does not grant them.
	Unsure bool
	Denied []DeniedClaim
}

// KeepAlive asks the peer for a KeepAliveAck. Package peer sends and answers it; handlers do not
// receive it.
type KeepAlive struct{}

// KeepAliveAck is the reply to a KeepAlive. Package peer handles it; handlers do not receive it.
type KeepAliveAck struct{}
