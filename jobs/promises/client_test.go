package promises

import (
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// clientJob is a job together with what its client and the backend servers have observed of it.
type clientJob struct {
	w           *world
	submission  durable.Submission
	failsAlways bool          // all its runs fail
	crashing    bool          // its first task crashes the servers that start it
	taskTime    time.Duration // of each run; 0 for that of the world

	accepted         bool
	refused          int // answers that say that the job will never run
	unanswered       int // attempts to submit it without such an answer
	done             bool
	cancelSent       bool
	cancelled        time.Time // when the cancel was acknowledged
	final            durable.State
	started          bool
	doneRuns         map[durable.TaskID][]endedRun
	lastStart        map[durable.TaskID]time.Time
	failedRuns       map[durable.TaskID]int
	failedEnds       map[durable.TaskID][]endedRun
	crashes          map[durable.TaskID]int // backend servers that crashed during a run of the task
	startsAfterThird map[durable.TaskID]int // starts after the third such crash
}

// endedRun is a run that ended, and whether a worker has acknowledged that.
type endedRun struct {
	node        *backendNode
	incarnation int
	number      uint64
	ref         wire.RunRef
	at          time.Time
	acked       bool // and the lease has not expired since the end
}

// newClientJob returns the world's job number n, of random size and needs.
func newClientJob(w *world, n int, bestEffort bool) *clientJob {
	j := &clientJob{
		w:                w,
		doneRuns:         make(map[durable.TaskID][]endedRun),
		lastStart:        make(map[durable.TaskID]time.Time),
		failedRuns:       make(map[durable.TaskID]int),
		failedEnds:       make(map[durable.TaskID][]endedRun),
		crashes:          make(map[durable.TaskID]int),
		startsAfterThird: make(map[durable.TaskID]int),
		failsAlways:      w.chance(0.03),
	}
	steps := []durable.Step{{Count: uint32(1 + w.random.IntN(4)), Need: durable.Resources{CPU: int64(500 + w.random.IntN(2500))}, EstimateMS: 200}}
	if w.unguarded {
		steps[0].Need.CPU = int64(needFactor * float64(steps[0].Need.CPU))
	}
	if w.chance(0.3) {
		steps = append(steps, durable.Step{Count: 1, Need: durable.Resources{CPU: 1000}, EstimateMS: 200, DependsOn: []uint32{0}})
	}
	j.submission = durable.Submission{
		ID:         durable.JobID(fmt.Sprintf("%016x", w.random.Uint64())),
		Queue:      durable.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 60},
		Spec:       fmt.Sprintf("spec %d", n),
		Steps:      steps,
		BestEffort: bestEffort,
	}
	w.clients[j.submission.ID] = j
	return j
}

// send submits the job to a random coordinator, and again after a time without an answer.
func (j *clientJob) send() {
	if j.done || j.w.violation != "" {
		return
	}
	k := j.w.coordinators[j.w.random.IntN(len(j.w.coordinators))]
	s := j.submission
	answered := false
	k.call(&nodeCall{kind: wire.CallSubmit, id: s.ID, submission: &s, reply: func(r scheduler.Reply) {
		if answered {
			return
		}
		answered = true
		j.handleReply(r)
	}})
	patience := 2500 * time.Millisecond
	if s.BestEffort && j.w.noResends {
		return
	}
	if s.BestEffort {
		patience = 4 * time.Second
	}
	j.w.after(patience, func() {
		if answered {
			return
		}
		answered = true
		k.abandon(s.ID)
		j.retry()
	})
}

// retry submits the job again after a delay, unless it is never sent twice.
func (j *clientJob) retry() {
	if j.submission.BestEffort && j.w.noResends {
		j.done = true
		return
	}
	j.unanswered++
	const resend = 1300 * time.Millisecond
	j.w.after(resend, j.send)
}

// handleReply handles the answer to a submission.
func (j *clientJob) handleReply(r scheduler.Reply) {
	switch r.Failure {
	case failure.None:
		j.accept(r)
	case failure.StoreUnavailable, failure.NoOwner, failure.Overloaded, failure.NoConfiguration:
		j.refused++
		j.w.counts["refused"]++
		if j.unanswered > 0 && !(j.submission.BestEffort && j.w.noResends) {
			j.w.after(500*time.Millisecond, j.send)
			return
		}
		j.done = true
	default:
		j.w.counts["unknown"]++
		j.retry()
	}
}

func (j *clientJob) accept(r scheduler.Reply) {
	j.done = true
	if j.submission.BestEffort {
		j.checkState(r.State)
		return
	}
	if !j.accepted {
		j.w.counts["accepted"]++
	}
	j.accepted = true
	if j.w.onAccept != nil {
		j.w.onAccept()
	}
}

// checkState checks a state that a client was shown, and records a final one.
func (j *clientJob) checkState(s durable.State) {
	id := j.submission.ID
	if j.final.Final() && s != j.final {
		j.w.violated("%s was shown as %v and then as %v", id, j.final, s)
	}
	if !s.Final() {
		return
	}
	known := j.final.Final()
	j.final = s
	switch s {
	case durable.Completed:
		j.w.counts["completed"]++
		for i, step := range j.submission.Steps {
			for k := range step.Count {
				if len(j.doneRuns[durable.TaskID{Job: id, Step: uint32(i), Index: k}]) == 0 {
					j.w.violated("%s is completed, but no run of its task %d.%d ended done", id, i, k)
				}
			}
		}
	case durable.Failed:
		j.w.counts["failed"]++
		most := 0
		for _, n := range j.failedRuns {
			most = max(most, n)
		}
		if most < int(j.submission.Queue.MaxAttempts) && !j.mayBeGivenUp() {
			j.w.violated("%s has failed after only %d failed runs of a task", id, most)
		}
		if most < int(j.submission.Queue.MaxAttempts) && !j.crashing && !known {
			j.w.counts["failed for crashes by other jobs"]++
		}
	case durable.Cancelled:
		if !j.cancelSent && !j.submission.BestEffort {
			j.w.violated("%s is cancelled, but no client cancelled it", id)
		}
	}
}

// queryState asks a random coordinator for the job's state.
func (j *clientJob) queryState(answered func()) {
	k := j.w.coordinators[j.w.random.IntN(len(j.w.coordinators))]
	k.call(&nodeCall{kind: wire.CallState, id: j.submission.ID, reply: func(r scheduler.Reply) {
		switch r.Failure {
		case failure.None:
			j.checkState(r.State)
			answered()
		case failure.JobNotFound:
			j.w.violated("%s was accepted, but is not found", j.submission.ID)
		}
	}})
}

// cancel sends a cancel of the job to a random coordinator.
func (j *clientJob) cancel() {
	j.cancelSent = true
	k := j.w.coordinators[j.w.random.IntN(len(j.w.coordinators))]
	k.call(&nodeCall{kind: wire.CallCancel, id: j.submission.ID, reply: func(r scheduler.Reply) {
		if r.Failure != failure.None {
			return
		}
		j.checkState(r.State)
		if r.State == durable.Cancelled && j.cancelled.IsZero() {
			j.cancelled = j.w.now
			j.w.counts["cancelled"]++
		}
	}})
}

// checkStart checks a run that a backend server is about to start.
func (j *clientJob) checkStart(b *backendNode, ref wire.RunRef, spec string) {
	if spec != j.submission.Spec {
		j.w.violated("%v was started with a spec that was not submitted", ref.Task)
	}
	if required := j.submission.Steps[ref.Task.Step].Requires; !b.hasLabel(required) {
		j.w.violated("%v run %d, which requires %s, starts on a server with the labels %v", ref.Task, ref.Run, required, b.labels)
	}
	if most := j.submission.Steps[ref.Task.Step].AntiAffinity; most > 0 && b.runsOfStep(ref.Task) >= most {
		j.w.violated("%v run %d starts beside %d tasks of its step", ref.Task, ref.Run, most)
	}
	if n := j.w.liveRuns(ref.Task); n > 0 {
		j.w.violated("%v run %d starts while another run is executing", ref.Task, ref.Run)
	}
	if j.done && !j.accepted && !j.submission.BestEffort && j.unanswered == 0 {
		j.w.violated("%v was started, but every submission of it was refused", ref.Task)
	}
	const cancelTime = 3 * time.Second
	if !j.cancelled.IsZero() && j.w.now.Sub(j.cancelled) > cancelTime {
		j.w.violated("%v was started %v after its cancel was acknowledged", ref.Task, j.w.now.Sub(j.cancelled))
	}
	for _, d := range j.submission.Steps[ref.Task.Step].DependsOn {
		for k := range j.submission.Steps[d].Count {
			if len(j.doneRuns[durable.TaskID{Job: ref.Task.Job, Step: d, Index: k}]) == 0 {
				j.w.violated("%v was started before step %d had ended", ref.Task, d)
			}
		}
	}
	j.lastStart[ref.Task] = j.w.now
	j.checkAttempts(ref.Task)
	j.checkCrashes(ref.Task)
	for _, d := range j.doneRuns[ref.Task] {
		if d.acked && !j.submission.BestEffort {
			j.w.violated("%v was started again after its end was acknowledged", ref.Task)
		}
	}
	j.started = true
}

// checkAttempts checks that no start follows the last failed run that is allowed. A failed run
// counts from its acknowledgement on, also if that comes after the start.
func (j *clientJob) checkAttempts(task durable.TaskID) {
	n := 0
	for _, f := range j.failedEnds[task] {
		if f.acked && f.at.Before(j.lastStart[task]) {
			n++
		}
	}
	if n >= int(j.submission.Queue.MaxAttempts) && !j.submission.BestEffort {
		j.w.violated("%v was started after %d failed runs", task, n)
	}
}

// ended records the end of a run.
func (j *clientJob) ended(b *backendNode, ref wire.RunRef, how wire.End, number uint64) {
	switch how {
	case wire.EndDone:
		j.doneRuns[ref.Task] = append(j.doneRuns[ref.Task], endedRun{node: b, incarnation: b.incarnation, number: number, ref: ref, at: j.w.now})
	case wire.EndFailed:
		j.failedRuns[ref.Task]++
		j.failedEnds[ref.Task] = append(j.failedEnds[ref.Task], endedRun{node: b, incarnation: b.incarnation, number: number, ref: ref, at: j.w.now})
	}
}

// recordAck records that an end was acknowledged, and checks it: a task whose run ended done may
// have no later start, unless the lease has expired since that end. From now on it may have none.
func (j *clientJob) recordAck(b *backendNode, e runtableEnd) {
	if j.submission.BestEffort {
		return
	}
	markAcked(b, e, j.failedEnds[e.Ref.Task])
	j.checkAttempts(e.Ref.Task)
	markAcked(b, e, j.doneRuns[e.Ref.Task])
	for _, d := range j.doneRuns[e.Ref.Task] {
		if d.acked && j.lastStart[e.Ref.Task].After(d.at) {
			j.w.violated("%v: its end was acknowledged after a later start", e.Ref.Task)
		}
	}
}

// markAcked marks the end as acknowledged. It does not count if the lease has expired since.
func markAcked(b *backendNode, e runtableEnd, ends []endedRun) {
	for i := range ends {
		d := &ends[i]
		if d.node == b && d.incarnation == b.incarnation && d.number == e.Number && !b.lapsedSince(d.at) {
			d.acked = true
		}
	}
}
