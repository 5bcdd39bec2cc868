package promises

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// TestRevokedOwner has the store refuse a coordinator and assign its partitions to others, which
// cannot reach it, without its knowledge. While its lease lasts, up to 1.2 s, the coordinator may not answer that a job does
// not exist which a new owner has acknowledged, nor that a job is not final which a new owner has
// reported as final.
func TestRevokedOwner(t *testing.T) {
	const cases = 40
	asked := 0
	for seed := range uint64(cases) {
		w := newWorld(seed)
		w.run(warmUp)
		old := w.coordinators[seed%coordinatorCount]
		w.refused[old.name] = true
		w.cutFromOthers(old)
		w.store.Reassign(w.now, 1)
		for n := range jobsInCase {
			j := newClientJob(w, n, false)
			j.failsAlways = false
			w.after(w.between(0, time.Second), j.send)
		}
		for end := w.now.Add(1500 * time.Millisecond); w.now.Before(end) && w.violation == ""; {
			w.run(10 * time.Millisecond)
			for _, id := range ordered.Keys(w.clients) {
				if j := w.clients[id]; j.accepted && old.core.Owns(id) {
					asked++
					j.queryStateAt(old)
				}
			}
		}
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
	}
	if asked == 0 {
		t.Fatal("no superseded owner was asked about a job of another owner")
	}
	t.Logf("%d cases, %d queries to a superseded owner", cases, asked)
}

// cutFromOthers cuts a coordinator from the others.
func (w *world) cutFromOthers(n *coordinatorNode) {
	for _, o := range w.coordinators {
		w.cut[link{n.name, o.name}], w.cut[link{o.name, n.name}] = true, true
	}
}

// queryStateAt asks one coordinator for the job's state, which may not forward the call.
func (j *clientJob) queryStateAt(n *coordinatorNode) {
	incarnation := n.incarnation
	c := &nodeCall{kind: wire.CallState, id: j.submission.ID, reply: func(r scheduler.Reply) {
		switch {
		case r.Failure == failure.JobNotFound:
			j.w.violated("%s was accepted, but is not found", j.submission.ID)
		case r.Failure == failure.None:
			j.checkState(r.State)
		}
	}}
	n.post(incarnation, func() { n.handleCall(c, false) })
}

// TestRevokedOwnerAtNewWorkers has the store refuse a coordinator and assign its partitions to
// others while jobs of the coordinator wait for capacity. Workers restart meanwhile, and new owners
// reach them a moment after the old one, so that such a worker knows no later owner. The old owner
// may start nothing there that a new one has started elsewhere.
func TestRevokedOwnerAtNewWorkers(t *testing.T) {
	t.Parallel()
	const cases = 60
	runs := 0
	for seed := range uint64(cases) {
		w := newWorld(seed)
		w.unguarded = true // tasks need much of a server, so that many wait
		w.run(warmUp)
		old := w.coordinators[seed%coordinatorCount]
		for n := range 2 * jobsInCase {
			w.after(w.between(0, 600*time.Millisecond), newClientJob(w, n, false).send)
		}
		w.run(400 * time.Millisecond)
		w.refused[old.name] = true
		w.cutFromOthers(old)
		w.store.Reassign(w.now, 1)
		for i := range w.workers {
			w.restartOutOfReach(i, old, w.between(100*time.Millisecond, time.Second))
		}
		w.run(1500 * time.Millisecond)
		w.finishCase()
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
		runs += w.counts["runs"]
	}
	t.Logf("%d cases, %d runs", cases, runs)
}

// restartOutOfReach kills a worker after a while and starts it again soon. Until a little later
// only one coordinator can reach it.
func (w *world) restartOutOfReach(i int, reaching *coordinatorNode, after time.Duration) {
	const down, hidden = 30 * time.Millisecond, 250 * time.Millisecond
	w.after(after, func() {
		for _, c := range w.coordinators {
			if c != reaching {
				w.cut[link{c.name, w.workers[i].name}] = true
			}
		}
		w.killWorker(i, down)
		w.after(down+hidden, func() {
			for _, c := range w.coordinators {
				delete(w.cut, link{c.name, w.workers[i].name})
			}
		})
	})
}
