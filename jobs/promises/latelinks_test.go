package promises

import (
	"testing"
	"time"
)

// What the cases with late links have beside the others.
const (
	workerCuts        = 10
	maxCut            = 3 * time.Second
	maxHeldDelay      = 300 * time.Millisecond // after the cut has healed
	heldCheckInterval = 20 * time.Millisecond  // how often a connection that holds messages looks whether it has
	cutJobs           = 120                    // more than the others: many of them best-effort
)

// The seed that failed before a worker retired the connections that were replaced.
var lateLinkRegressions = []failedSeed{
	{20261203, "orders that a coordinator had written off were started by a late copy, beside their successors"},
}

// TestLateLinks plays cases in which workers are cut off for a while and what coordinators
// sent into the cut arrives after it has healed, beside the connections that were made
// since; some backend servers crash behind the cut and are back before.
func TestLateLinks(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", fewerCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	replay(t, lateLinkRegressions, func(seed uint64) *world { return runLateLinks(seed, 0) })
	for _, kinds := range []int{0, allFaults} {
		late := 0
		for i := range cases {
			w := runLateLinks(seed+i, kinds)
			if w.violation != "" {
				t.Fatalf("seed %d with %d kinds of faults: %s", seed+i, kinds, w.violation)
			}
			late += w.counts["late messages"]
		}
		if late == 0 {
			t.Fatal("no message came late")
		}
		t.Logf("%d kinds of faults: %d cases, %d late messages", kinds, cases, late)
	}
}

func runLateLinks(seed uint64, kinds int) *world {
	w := newWorld(seed)
	w.lateLinks = true
	for range workerCuts {
		w.after(warmUp+w.between(0, faultPhase), w.cutWorker)
	}
	for n := range cutJobs {
		w.after(warmUp+w.between(0, faultPhase), newClientJob(w, jobsInCase+n, w.chance(0.8)).send)
	}
	w.runCase(kinds)
	return w
}

// cutWorker cuts a worker off from all coordinators for a while. Its backend server may
// crash behind the cut and come back.
func (w *world) cutWorker() {
	i := w.random.IntN(workerCount)
	name := w.workers[i].name
	var links []link
	for _, n := range w.coordinators {
		links = append(links, link{n.name, name}, link{name, n.name})
	}
	for _, l := range links {
		w.cut[l] = true
	}
	length := w.between(300*time.Millisecond, maxCut)
	if w.chance(0.5) {
		w.after(length/2, func() { w.crashBackend(i) })
	}
	w.after(length, func() {
		for _, l := range links {
			delete(w.cut, l)
		}
	})
}

// deliverHeld delivers what the connection holds a while after the cut has healed, and ends
// it then at the worker.
func (c *conn) deliverHeld() {
	w := c.from.w
	if !w.reaches(c.from.name, c.to.name) {
		w.after(heldCheckInterval, c.deliverHeld)
		return
	}
	w.after(w.between(0, maxHeldDelay), func() {
		for _, deliver := range c.held {
			w.counts["late messages"]++
			deliver()
		}
		c.to.postFrom(c.name, c.incarnations[1], func() { c.to.removeConn(c) })
	})
}
