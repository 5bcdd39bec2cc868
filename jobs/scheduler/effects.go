package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// Effects is what the caller of a Core has to carry out.
type Effects struct {
	Replies   []Reply
	Commits   []Commit
	Sends     []ToWorker
	Reconnect []string         // addresses of workers whose connection is to be closed and dialled again
	Crashes   []wire.TaskCrash // to be reported to the other coordinators
	Notes     []Note
	Begun     []JobBegun // jobs of which a first task was ordered
	Refused   []int      // classes of the calls that were refused for lack of capacity
	Confirm   bool       // ask the store soon whether this coordinator still owns its partitions
	Fenced    bool       // a newer owner exists: read at once which partitions this coordinator owns
}

// JobBegun is a job of which a first task was ordered. A job whose tasks were all handed back
// is listed again when it begins anew.
type JobBegun struct {
	Class  int           // of its queue's priority; 0 to Classes-1
	Waited time.Duration // since the job arrived
}

// ToWorker is a message to the worker with that address.
type ToWorker struct {
	Worker  string
	Message wire.Message
}

// Reply answers a Call: with the state of the job if Failure is none, else with the failure and
// how long the caller should wait before it retries.
type Reply struct {
	Call       Call
	ID         durable.JobID
	Failure    failure.Kind
	State      durable.State
	RetryAfter time.Duration
}

// Commit is a request to append records to the store, all or none, under the epoch. Each
// partition has at most one commit in flight.
type Commit struct {
	Partition uint32
	Epoch     uint64 // fencing epoch of the partition's owner
	Records   []durable.Record
}

// CommitResult is the result of a Commit.
type CommitResult uint8

// The results of a Commit.
const (
	CommitOK      CommitResult = iota
	CommitRefused              // not done, and certainly will not be
	CommitFenced               // not done: another owner has a higher epoch
	CommitLost                 // the partition was given up before the result was known
)

// String returns the result as a word for logs and metric labels.
func (r CommitResult) String() string {
	return [...]string{"ok", "refused", "fenced", "lost"}[r]
}
