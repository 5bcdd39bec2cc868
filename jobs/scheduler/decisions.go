package scheduler

import "github.com/lichenfall/lichenfall/jobs/durable"

// Decision is the message of a log line, and the metric label under which such lines are counted.
type Decision string

// The decisions of a coordinator's core. docs/OPERATIONS.md says what each means to an operator
// on call.
const (
	CallFailed          Decision = "call_failed"           // a call was answered with a failure
	JobKept             Decision = "job_kept"              // the submission is in the store
	CopyJoined          Decision = "copy_joined"           // a best-effort job came again; the call waits for its end
	JobRefused          Decision = "job_refused"           // on arrival: no worker, too long a wait, or too many jobs
	JobGivenUp          Decision = "job_given_up"          // refused after it was admitted, before it began
	RefusalBesideRoom   Decision = "refusal_beside_room"   // a fault: a job was to be refused though it fits; it was not
	RunOrdered          Decision = "run_ordered"           // sent to a worker
	TaskHeld            Decision = "task_held"             // waits for a faster worker; it would be late at the free ones
	RunEnded            Decision = "run_ended"             // reported by its worker
	RunAbsent           Decision = "run_absent"            // missing from its worker's report: it is not running there
	RunWrittenOff       Decision = "run_written_off"       // its worker is unreachable, its lease has certainly expired
	RunTakenOver        Decision = "run_taken_over"        // a worker has the run, started by an earlier owner
	WorkerUp            Decision = "worker_up"             // connected
	WorkerDown          Decision = "worker_down"           // its connection is lost
	WorkerSilent        Decision = "worker_silent"         // it sent no status for too long; its connection is given up
	ReportAwaited       Decision = "report_awaited"        // it keeps a partition's runs, and reports them later
	WorkerWrittenOff    Decision = "worker_written_off"    // it never reported a partition's runs; its leases have expired
	WorkerEjected       Decision = "worker_ejected"        // its runs are slow or fail: it gets only probes
	WorkerRestored      Decision = "worker_restored"       // its runs are neither slow nor failing any more
	RoomAsked           Decision = "room_asked"            // workers were asked for capacity for what waits here
	RoomWithdrawn       Decision = "room_withdrawn"        // nothing waits any more; the requests were withdrawn
	RoomUsed            Decision = "room_used"             // a worker reported the requested capacity, and was sent runs
	RoomUnused          Decision = "room_unused"           // it was sent none: nothing that waits here fits there now
	DataCentreEvacuated Decision = "data_centre_evacuated" // operators want no tasks started there
	DataCentreReturned  Decision = "data_centre_returned"  // operators ended its evacuation
	PartitionAcquired   Decision = "partition_acquired"    // this coordinator owns it now
	PartitionReleased   Decision = "partition_released"    // another coordinator owns it, or will
	PartitionSuspended  Decision = "partition_suspended"   // the lease may have expired, or is valid again
	EarlierTermEnded    Decision = "earlier_term_ended"    // an earlier owner renews no leases of the partition any more
	RecordInvalid       Decision = "record_invalid"        // a fault of the program: the record could not be encoded
	jobPrefix                    = "job_"                  // job_completed, job_failed, job_cancelled: decided, not yet stored
)

// Measure names the figure of a Note in the log.
type Measure string

// The figures of notes. Names ending in MS are in milliseconds.
const (
	JobAgeMS        Measure = "job_age_ms"       // since the job arrived
	RunMS           Measure = "run_ms"           // how long the run took, as its worker reports
	WaitMS          Measure = "wait_ms"          // expected wait of a job or task; Limit is the longest allowed
	WaitingTasks    Measure = "waiting_tasks"    // tasks that fit
	SilentMS        Measure = "silent_ms"        // since the worker's last status
	WorkersAsked    Measure = "workers_asked"    // workers that were sent a request, or its withdrawal
	WorkersThere    Measure = "workers_there"    // connected workers in the data centre
	RunsThere       Measure = "runs_there"       // this coordinator's runs at the worker
	SlownessPercent Measure = "slowness_percent" // run times over the worker's baseline; Limit is the bound of outliers
	FailingPercent  Measure = "failing_percent"  // share of the latest runs that failed
	OpenJobs        Measure = "open_jobs"        // jobs that are not final
	PartitionNumber Measure = "partition"
)

// Note is a decision to be logged; fields that do not apply are empty.
type Note struct {
	What    Decision
	Job     durable.JobID
	Task    string
	Run     uint32
	Worker  string // address
	Reason  string
	Measure Measure // what Value is; empty without a value
	Value   int64
	Limit   int64 // what Value was compared with; 0 if nothing
	// Forecast explains the expected wait of a job that was refused for it; else nil.
	Forecast *Forecast
	// Frequent marks a decision that may be taken many times a second in normal operation; its
	// lines are sampled.
	Frequent bool
}

func (c *Core) note(n Note) { c.effects.Notes = append(c.effects.Notes, n) }
