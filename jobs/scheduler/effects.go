package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// Effects is what has to be done.
type Effects struct {
	Replies   []Reply
	Commits   []Commit
	Sends     []ToWorker
	Reconnect []string         // workers whose connection is to be closed and dialled again
	Crashes   []wire.TaskCrash // other coordinators are to be told of
	Notes     []Note
	Begun     []JobBegun // jobs of which a first task was ordered
	Refused   []int      // the classes of calls that were refused for want of room
	Confirm   bool       // ask the store soon whether our partitions are still ours
	Fenced    bool       // a newer owner exists: look at once which partitions are ours
}

// JobBegun is a job of which a first task was ordered; one whose tasks were all handed back
// counts again.
type JobBegun struct {
	Class  int           // by its queue's priority; 0 to Classes-1
	Waited time.Duration // since it came
}

// ToWorker is a message to a worker, by its address.
type ToWorker struct {
	Worker  string
	Message wire.Message
}

// Reply answers a Call.
type Reply struct {
	Call       Call
	ID         durable.JobID
	Failure    failure.Kind
	State      durable.State
	RetryAfter time.Duration
}

// Commit asks for records to be appended, all or none, under the epoch. Each
// partition has at most one on its way.
type Commit struct {
	Partition uint32
	Epoch     uint64 // fencing epoch of the partition's owner
	Records   []durable.Record
}

// CommitResult says how a Commit went.
type CommitResult uint8

// The results of a Commit.
const (
	CommitOK      CommitResult = iota
	CommitRefused              // certainly not done, and never will be
	CommitFenced               // not done: another owner has a higher epoch
	CommitLost                 // the partition was given up before the fate was known
)

// String returns the result as a word for logs and labels.
func (r CommitResult) String() string {
	return [...]string{"ok", "refused", "fenced", "lost"}[r]
}
