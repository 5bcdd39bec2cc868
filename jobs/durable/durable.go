// Package durable defines the jobs that are kept in the log store before they
// are acknowledged, and the records that describe them there. It owns their encoded
// form, which must stay readable: the store has records of earlier versions. It does
// no I/O.
package durable

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool msgp -io=false -tests=false -file durable.go -o durable_gen.go
//msgp:tuple TaskID Resources Queue Step Submission Failure Crash Progress
//msgp:limit arrays:65536
//msgp:ignore State

// JobID names a job: 16 hexadecimal digits chosen by the caller.
type JobID string

// jobIDLength is the number of digits of a JobID.
const jobIDLength = 16

// Valid returns whether the ID has the right form.
func (id JobID) Valid() bool {
	if len(id) != jobIDLength {
		return false
	}
	for i := range len(id) {
		if !isHex(id[i]) {
			return false
		}
	}
	return true
}

func isHex(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
}

// Partition returns the partition, of so many, that keeps the job.
func (id JobID) Partition(partitions uint32) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % uint64(partitions))
}

// TaskID names one task of a job.
type TaskID struct {
	Job    JobID
	Repeat uint32 // which repetition of the job's steps, from 0
	Step   uint32
	Index  uint32
}

// String returns the ID as JOB.REPEAT.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Repeat, t.Step, t.Index)
}

// taskIDParts is the number of parts of a TaskID's text.
const taskIDParts = 4

// ParseTaskID reads what TaskID.String writes; ok is false for anything else.
func ParseTaskID(s string) (t TaskID, ok bool) {
	parts := strings.Split(s, ".")
	if len(parts) != taskIDParts || !JobID(parts[0]).Valid() {
		return TaskID{}, false
	}
	t.Job = JobID(parts[0])
	for i, into := range []*uint32{&t.Repeat, &t.Step, &t.Index} {
		n, err := strconv.ParseUint(parts[i+1], 10, 32)
		if err != nil {
			return TaskID{}, false
		}
		*into = uint32(n)
	}
	return t, true
}

// Resources is what a task needs or a backend server has.
type Resources struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	GPU    int64 // whole accelerators
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Sub returns the difference; its parts may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Fits returns whether r is within the room.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.GPU <= room.GPU
}

// Max returns the greater of each part.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.GPU, o.GPU)}
}

// CountIn returns how many times r fits into the room, at most mostTimes.
func (r Resources) CountIn(room Resources) int64 {
	n := int64(mostTimes)
	for _, part := range [...]struct{ need, room int64 }{{r.CPU, room.CPU}, {r.Memory, room.Memory}, {r.GPU, room.GPU}} {
		if part.need > 0 {
			n = min(n, max(0, part.room/part.need))
		}
	}
	return n
}

// mostTimes bounds how often what needs nothing fits. More than any job has tasks.
const mostTimes = 1 << 20

// Queue holds the settings of the queue that a job was submitted to, as they
// were in force then.
type Queue struct {
	Name        string
	Service     string // the pool of backend servers that runs its tasks
	Priority    int32  // 0 comes first
	MaxAttempts uint32 // failed runs of one task that fail the job
	Stretch     float64
	TargetMS    int64 // objective: Stretch times the work, and this much
}

// Step is a group of like tasks.
type Step struct {
	Count        uint32
	Need         Resources
	EstimateMS   int64
	DependsOn    []uint32 // earlier steps that must be done first
	Checkpoints  bool
	Requires     string // a label that the backend server must have
	Affinity     string // the rack that is near the data
	AntiAffinity uint32 // tasks of the step on one backend server at once; 0 is no bound
}

// Submission is the record of a job as it was accepted.
type Submission struct {
	ID    JobID
	Queue Queue
	Spec  string
	Steps []Step
	Epoch uint64 // of the partition's owner that accepted it
	// BestEffort marks a job that is not kept: its caller waits for its end, and
	// sends it again when there is no answer.
	BestEffort bool
}

// Tasks returns the number of tasks of the job.
func (s *Submission) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += int(s.Steps[i].Count)
	}
	return n
}

// SameContent returns whether a resent submission asks for the same work.
func (s *Submission) SameContent(o *Submission) bool {
	if s.Spec != o.Spec || len(s.Steps) != len(o.Steps) {
		return false
	}
	for i := range s.Steps {
		if s.Steps[i].Count != o.Steps[i].Count || s.Steps[i].Need != o.Steps[i].Need {
			return false
		}
	}
	return true
}

// State is where a job stands.
type State uint8

// The states of a job. The last three are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final returns whether a job in this state never leaves it.
func (s State) Final() bool { return s >= Completed }

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	}
	return "cancelled"
}

// Failure names the failed runs of one task. They are named, not counted, since
// a worker may tell of one again.
type Failure struct {
	Task uint32 // number of the task, counted over all steps
	Runs []uint32
}

// Crash is a backend server that crashed under a run of a task. It is named by its life,
// since a worker may tell of one again, and run numbers of jobs that are not kept may be
// used again.
type Crash struct {
	Task     uint32 // number of the task, counted over all steps
	Instance string // the life of the backend server
	Begun    bool   // the run was at work; else its start had no answer yet
}

// Crashes are the crashes under the tasks of one job.
type Crashes []Crash

// Progress is the record of how far a job is. It replaces the one before.
type Progress struct {
	State    uint8 // a State; Queued stands for any that is not final
	Done     Bitmap
	Failures []Failure
	Crashes  Crashes `msg:"-"` // follow the rest in the record, if there are any
}

// Bitmap is a set of task numbers.
type Bitmap []byte

// byteBits is the number of bits of a byte.
const byteBits = 8

// Has returns whether n is in the set.
func (b Bitmap) Has(n int) bool {
	return n/byteBits < len(b) && b[n/byteBits]&(1<<(n%byteBits)) != 0
}

// With returns the set with n added; b may be changed.
func (b Bitmap) With(n int) Bitmap {
	for len(b) <= n/byteBits {
		b = append(b, 0)
	}
	b[n/byteBits] |= 1 << (n % byteBits)
	return b
}

// Len returns the number of members.
func (b Bitmap) Len() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// Estimate returns how long a task of the step is thought to take.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }
