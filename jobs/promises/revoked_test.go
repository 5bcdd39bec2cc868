package promises

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// TestRevokedOwner has a coordinator turned away by the store and its partitions dealt
// to others without its knowing. While its lease lasts, up to 1.2 s, it may not say
// that a job does not exist which a new owner has acknowledged, nor that one is not
// final which a new owner has shown as final.
func TestRevokedOwner(t *testing.T) {
	const cases = 40
	asked := 0
	for seed := range uint64(cases) {
		w := newWorld(seed)
		w.run(warmUp)
		old := w.coordinators[seed%coordinatorCount]
		w.refused[old.name] = true
		w.store.Redeal(w.now, 1)
		for n := range jobsInCase {
			j := newClientJob(w, n, false)
			j.poison = false
			w.after(w.between(0, time.Second), j.send)
		}
		for end := w.now.Add(1500 * time.Millisecond); w.now.Before(end) && w.violation == ""; {
			w.run(10 * time.Millisecond)
			for _, id := range ordered.Keys(w.clients) {
				if j := w.clients[id]; j.accepted && old.core.Owns(id) {
					asked++
					j.askAt(old)
				}
			}
		}
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
	}
	if asked == 0 {
		t.Fatal("no superseded owner was asked about a job of another")
	}
	t.Logf("%d cases, %d questions to a superseded owner", cases, asked)
}

// askAt asks a coordinator for the job's state, and does not let it pass the question
// on.
func (j *clientJob) askAt(n *coordinatorNode) {
	life := n.life
	c := &nodeCall{kind: wire.CallState, id: j.submission.ID, reply: func(r scheduler.Reply) {
		switch {
		case r.Failure == failure.JobNotFound:
			j.w.broken("%s was accepted and is not found", j.submission.ID)
		case r.Failure == failure.None:
			j.ending(r.State)
		}
	}}
	n.post(life, func() { n.take(c, false) })
}
