package promises

import (
	"testing"
	"time"
)

// TestRevokedOwnerReachesWhatTheNextOneDoesNot guards against tasks that run twice at once: the store
// refuses a coordinator and deals its partitions to others, which cannot reach a worker that the
// former owner still sends heartbeats to. The runs there outlive the time at which the new owners
// write the worker off. Tasks last longer than any lease.
func TestRevokedOwnerReachesWhatTheNextOneDoesNot(t *testing.T) {
	t.Parallel()
	playRevokedOwner(t, func(*world, *coordinatorNode) {})
}

// TestRevokedOwnerCutFromTheNextOne guards against the same where the new owners cannot have the former
// one end its terms either.
func TestRevokedOwnerCutFromTheNextOne(t *testing.T) {
	t.Parallel()
	playRevokedOwner(t, (*world).cutFromOthers)
}

// playRevokedOwner plays the cases; also does more to the world at the moment of the revocation.
func playRevokedOwner(t *testing.T, also func(*world, *coordinatorNode)) {
	t.Helper()
	const jobs = 6
	cases := envNumber("LICHENFALL_CASES", defaultCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	for i := range cases {
		w := newWorldWith(seed+i, func(w *world) { w.taskTime = 6 * time.Second })
		w.run(warmUp)
		for n := range jobs {
			w.after(w.between(0, 400*time.Millisecond), newClientJob(w, n, false).send)
		}
		w.run(800 * time.Millisecond)
		old := w.coordinators[i%coordinatorCount]
		for _, c := range w.coordinators {
			for _, n := range w.workers[:2] {
				if c != old {
					w.cut[link{c.name, n.name}], w.cut[link{n.name, c.name}] = true, true
				}
			}
		}
		w.refused[old.name] = true
		also(w, old)
		w.store.Reassign(w.now, 1)
		for k := range 2 {
			w.after(w.between(2*time.Second, 2700*time.Millisecond), func() { w.killWorker(k, 3*time.Second) })
		}
		w.run(6 * time.Second)
		w.finishCase()
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed+i, w.violation)
		}
	}
}
