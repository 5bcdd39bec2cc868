// Package durable defines jobs and the records that describe them in the log store. A job is
// written to the store before it is acknowledged to its caller, unless it is best-effort. The
// package owns the encoding of the records, which must stay readable: the store holds records
// of earlier versions. It does no I/O.
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

// jobIDLength is the number of digits in a JobID.
const jobIDLength = 16

// Valid returns whether the ID consists of 16 hexadecimal digits.
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

// Number returns the value of the ID's digits; 0 if the ID is not valid.
func (id JobID) Number() uint64 {
	n, err := strconv.ParseUint(string(id), 16, 64)
	if err != nil || !id.Valid() {
		return 0
	}
	return n
}

func isHex(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
}

// Partition returns the number of the partition that stores the job, from 0 to partitions-1.
func (id JobID) Partition(partitions uint32) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % uint64(partitions))
}

// TaskID names one task of a job.
type TaskID struct {
	Job    JobID
	Repeat uint32 // which repetition of the job's steps, from 0
	Step   uint32 // index of the step in the job, from 0
	Index  uint32 // index of the task in the step, from 0
}

// String returns the ID as JOB.REPEAT.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Repeat, t.Step, t.Index)
}

// taskIDParts is the number of parts in the text form of a TaskID.
const taskIDParts = 4

// ParseTaskID parses the text form that TaskID.String returns; ok is false for any other text.
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

// Resources is an amount that a task needs or a backend server has.
type Resources struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	GPU    int64 // number of whole accelerators
}

// Add returns the sum of each component.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Sub returns the difference of each component, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Fits returns whether no component of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// Max returns the greater of each component.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.GPU, o.GPU)}
}

// CountIn returns how many times r fits into free, at most maxCount.
func (r Resources) CountIn(free Resources) int64 {
	n := int64(maxCount)
	for _, c := range [...]struct{ need, free int64 }{{r.CPU, free.CPU}, {r.Memory, free.Memory}, {r.GPU, free.GPU}} {
		if c.need > 0 {
			n = min(n, max(0, c.free/c.need))
		}
	}
	return n
}

// maxCount bounds the result of CountIn, which would be infinite for resources that are all zero.
// It exceeds the number of tasks of any job.
const maxCount = 1 << 20

// Queue holds the settings of the queue that a job was submitted to, as they were in force when
// it was submitted.
type Queue struct {
	Name        string
	Service     string  // the pool of backend servers that runs the queue's tasks
	Priority    int32   // the lowest number, usually 0, comes first
	MaxAttempts uint32  // the job fails when so many runs of one task have failed
	Stretch     float64 // a job's time objective is Stretch times its longest chain of estimates, plus TargetMS
	TargetMS    int64   // milliseconds
}

// Step is a group of tasks with the same properties.
type Step struct {
	Count        uint32    // number of tasks
	Need         Resources // of each task
	EstimateMS   int64     // estimated time of a task, in milliseconds; 0 is unknown
	DependsOn    []uint32  // indexes of earlier steps that must be done first
	Checkpoints  bool      // the submission states that the tasks write checkpoints
	Requires     string    // a label that the backend server must have; empty for none
	Affinity     string    // a label of the rack near the tasks' data; empty for none
	AntiAffinity uint32    // most tasks of the step on one backend server at once; 0 is no limit
}

// Submission is the record of a job as it was accepted.
type Submission struct {
	ID    JobID
	Queue Queue
	Spec  string
	Steps []Step
	Epoch uint64 // fencing epoch of the partition's owner that accepted the job
	// BestEffort marks a job that is not stored: its caller waits for its end, and resends it
	// if there is no answer.
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

// SameContent returns whether a resent submission has the same work: the specification, and the
// count and need of each step. Other fields are not compared.
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

// State is the state of a job.
type State uint8

// The states of a job. The last three are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final returns whether the job has ended: it never leaves this state.
func (s State) Final() bool { return s >= Completed }

// String returns the name of the state; any unknown state is returned as cancelled.
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

// Failure lists the failed runs of one task. They are listed, not counted, since a worker may
// report one of them again.
type Failure struct {
	Task uint32   // number of the task, counted over all steps
	Runs []uint32 // numbers of the runs
}

// Crash is a crash of a backend server during a run of a task. It is identified by the
// incarnation of the backend server, since a worker may report a crash again, and since run
// numbers of jobs that are not stored may be reused.
type Crash struct {
	Task     uint32 // number of the task, counted over all steps
	Instance string // incarnation of the backend server
	Begun    bool   // the run had started; if not, its start was not answered yet
}

// Crashes are the crashes during runs of the tasks of one job.
type Crashes []Crash

// Progress is the progress of a job. Its record replaces the one before.
type Progress struct {
	State    uint8  // a State; Queued stands for any that is not final
	Done     Bitmap // numbers of the tasks that are done, counted over all steps
	Failures []Failure
	Crashes  Crashes `msg:"-"` // encoded after the rest of the record, if there are any
}

// Bitmap is a set of task numbers, one bit each, the lowest bit of a byte first.
type Bitmap []byte

// byteBits is the number of bits in a byte.
const byteBits = 8

// Has returns whether n is in the set.
func (b Bitmap) Has(n int) bool {
	return n/byteBits < len(b) && b[n/byteBits]&(1<<(n%byteBits)) != 0
}

// With returns the set with n added. It may modify b.
func (b Bitmap) With(n int) Bitmap {
	for len(b) <= n/byteBits {
		b = append(b, 0)
	}
	b[n/byteBits] |= 1 << (n % byteBits)
	return b
}

// Len returns the number of members of the set.
func (b Bitmap) Len() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// Estimate returns the estimated time of a task of the step; 0 if unknown.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }
