package promises

import (
	"testing"
	"time"
)

// TestRestartBehindACut guards against tasks that run twice at once: a worker that is cut off from the
// coordinators is killed and starts again, and its new process kept what it found running beyond the
// time at which the coordinators write it off. Tasks last longer than any lease.
func TestRestartBehindACut(t *testing.T) {
	t.Parallel()
	const (
		jobs  = 24
		spell = 12 * time.Second // of cuts
	)
	cases := envNumber("LICHENFALL_CASES", defaultCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	for i := range cases {
		w := newWorldWith(seed+i, func(w *world) {
			w.taskTime = 5 * time.Second
			w.noResends = true
		})
		for n := range jobs {
			j := newClientJob(w, n, w.chance(0.5))
			w.after(warmUp+w.between(0, spell), j.send)
		}
		for range 6 {
			w.after(warmUp+w.between(500*time.Millisecond, spell), w.restartWorkerBehindACut)
		}
		w.run(warmUp + spell)
		w.finishCase()
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed+i, w.violation)
		}
	}
}

// restartWorkerBehindACut cuts a worker off from all coordinators, kills it and starts it again.
func (w *world) restartWorkerBehindACut() {
	i := w.random.IntN(workerCount)
	n := w.workers[i]
	if !n.alive {
		return
	}
	var links []link
	for _, c := range w.coordinators {
		links = append(links, link{c.name, n.name}, link{n.name, c.name})
	}
	for _, l := range links {
		w.cut[l] = true
	}
	w.after(w.between(300*time.Millisecond, 1600*time.Millisecond), func() { w.killWorker(i, w.between(300*time.Millisecond, time.Second)) })
	w.after(w.between(4*time.Second, 6*time.Second), func() {
		for _, l := range links {
			delete(w.cut, l)
		}
	})
}
