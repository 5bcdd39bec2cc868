package promises

import (
	"testing"
	"time"
)

// Further constants of the cases with late links.
const (
	workerCuts        = 10
	maxCut            = 3 * time.Second
	maxHeldDelay      = 300 * time.Millisecond // after the end of the cut
	heldCheckInterval = 20 * time.Millisecond  // how often a connection that holds messages checks whether the cut has ended
	cutJobs           = 120                    // in addition to the usual ones; many of them are best-effort
)

// lateLinkRegressions has the seed that failed before a worker closed connections that were
// replaced.
var lateLinkRegressions = []failedSeed{
	{20261203, "runs that a coordinator had written off were started by orders that arrived late, beside the runs that replaced them"},
}

// TestLateLinks runs cases in which workers are cut off for a while, and what coordinators sent
// into the cut arrives after its end, beside the messages of the connections that were opened
// since. Some backend servers crash during the cut and restart before its end.
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
			t.Fatal("no message was late")
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

// cutWorker cuts a worker off from all coordinators for a while. In half of the cases its backend
// server crashes during the cut.
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

// deliverHeld delivers the held messages of the connection some time after the cut has ended, and
// then closes it at the worker.
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
