package promises

import (
	"fmt"
	"testing"
	"time"
)

// Constants of the cases in which orders are delayed while backend servers change.
const (
	earlierViewCases = 4 // of each delay
	earlierViewPhase = 4 * time.Second
	earlierViewJobs  = 20 // at any time, and jobsInDelay more while each change is delayed
	jobsInDelay      = 30
	settled          = 10 * time.Second        // of calm, in which all jobs end
	constantServers  = 2                       // one of each kind, so that every job can end
	changingServers  = 3                       // which have another kind and size after each restart
	changesInCase    = 2                       // fewer than the crashes after which a job is given up
	maxDelay         = 1500 * time.Millisecond // within the lease of an owner
	maxDown          = 300 * time.Millisecond  // of a server, within the delay
)

// delays are the ways in which a worker handles orders late, or its coordinators what it tells them. Each
// lasts for d.
var delays = []struct {
	name  string
	begin func(w *world, n *workerNode, d time.Duration)
}{
	{"none", func(*world, *workerNode, time.Duration) {}},
	{"orders held", func(w *world, n *workerNode, d time.Duration) { w.holdLinks(n, d, true, false) }},
	{"statuses held", func(w *world, n *workerNode, d time.Duration) { w.holdLinks(n, d, false, true) }},
	{"both held", func(w *world, n *workerNode, d time.Duration) { w.holdLinks(n, d, true, true) }},
	{"cut, and sent anew", func(w *world, n *workerNode, d time.Duration) { w.cutWorkerFor(n, d) }},
	{"worker frozen", func(_ *world, n *workerNode, d time.Duration) { n.freezeFor(d) }},
	{"worker stalled", func(_ *world, n *workerNode, d time.Duration) { n.stallFor(d) }},
	{"worker suspended", func(_ *world, n *workerNode, d time.Duration) { n.suspendFor(d) }},
	{"coordinators frozen", func(w *world, _ *workerNode, d time.Duration) {
		for _, c := range w.coordinators {
			c.freezeFor(d)
		}
	}},
	{"coordinators stalled", func(w *world, _ *workerNode, d time.Duration) {
		for _, c := range w.coordinators {
			c.stallFor(d)
		}
	}},
}

// holdLinks has the messages between the worker and all coordinators arrive d later, in their order.
func (w *world) holdLinks(n *workerNode, d time.Duration, orders, statuses bool) {
	for _, c := range w.coordinators {
		if orders {
			w.heldUntil[link{c.name, n.name}] = w.now.Add(d)
		}
		if statuses {
			w.heldUntil[link{n.name, c.name}] = w.now.Add(d)
		}
	}
}

// cutWorkerFor cuts the worker off from all coordinators for d. What they sent meanwhile arrives later.
func (w *world) cutWorkerFor(n *workerNode, d time.Duration) {
	for _, c := range w.coordinators {
		there, back := link{c.name, n.name}, link{n.name, c.name}
		w.cut[there], w.cut[back] = true, true
		w.after(d, func() {
			delete(w.cut, there)
			delete(w.cut, back)
		})
	}
}

// TestOrdersOfAnEarlierView guards against tasks that start on a backend server of another kind than they
// require, beyond its capacity, or beside too many of their step: the order was decided before the
// coordinator knew of the server's present incarnation. Each way of delay, with durable and best-effort
// jobs, and with servers that get another instance ID and such that keep theirs.
func TestOrdersOfAnEarlierView(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", earlierViewCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	for _, delay := range delays {
		for _, reusesID := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, IDs reused %t", delay.name, reusesID), func(t *testing.T) {
				t.Parallel()
				failed, counts := 0, make(map[string]int)
				for i := range cases {
					w := earlierViewWorld(seed+i, reusesID)
					w.playEarlierView(delay.begin)
					if w.violation != "" {
						failed++
						t.Errorf("seed %d: %s", seed+i, w.violation)
					}
					for name, n := range w.counts {
						counts[name] += n
					}
				}
				t.Logf("%d cases, %d failed, %d runs, %d changes, %d orders of an earlier view handed back", cases, failed, counts["runs"], counts["changes of servers"], counts["orders of an earlier view"])
			})
		}
	}
}

// earlierViewWorld returns a world with servers of two kinds, which start whatever they are ordered to.
func earlierViewWorld(seed uint64, reusesID bool) *world {
	return newWorldWith(seed, func(w *world) {
		w.reusesID, w.boundStarts = reusesID, true
		w.unguarded, w.lateLinks, w.shuffleInbox = true, true, true
		w.noResends = true
		for i := range constantServers {
			w.fleet = append(w.fleet, serverKind{[]string{commonKind, rareKind}[i], 8})
		}
		for range changingServers {
			w.fleet = append(w.fleet, drawKind(w))
		}
	})
}

// otherKind has the other one of the two kinds of servers.
var otherKind = map[string]string{commonKind: rareKind, rareKind: commonKind}

// drawKind returns one of the two kinds of servers, of a random size.
func drawKind(w *world) serverKind {
	k := serverKind{commonKind, 2 + w.random.Int64N(10)}
	if w.chance(0.5) {
		k.label = rareKind
	}
	return k
}

// playEarlierView has jobs come while servers change during delays.
func (w *world) playEarlierView(begin func(w *world, n *workerNode, d time.Duration)) {
	for range earlierViewJobs {
		w.after(warmUp+w.between(0, earlierViewPhase), w.sendRequiringJob)
	}
	for range changesInCase {
		w.after(warmUp+w.between(0, earlierViewPhase), func() {
			n := w.workers[constantServers+w.random.IntN(changingServers)]
			d := w.between(50*time.Millisecond, maxDelay)
			begin(w, n, d)
			w.after(w.between(0, d), func() { w.changeServer(n) })
			for range jobsInDelay {
				w.after(w.between(0, d), w.sendRequiringJob)
			}
		})
	}
	w.run(warmUp + earlierViewPhase + 2*maxDelay)
	w.endFaults()
	w.run(settled)
	w.awaitFinal()
}

// sendRequiringJob sends a job that requires one of the kinds, or none, and may limit how many of its tasks
// one server runs at once.
func (w *world) sendRequiringJob() {
	j := newClientJob(w, len(w.clients), w.chance(0.5))
	first := &j.submission.Steps[0]
	first.Requires = []string{"", commonKind, rareKind}[w.random.IntN(3)]
	if w.chance(0.3) {
		first.AntiAffinity = 1 + uint32(w.random.IntN(2))
	}
	j.send()
}

// changeServer has a worker's backend server crash and start again, as the other kind and of another
// size.
func (w *world) changeServer(n *workerNode) {
	b := n.backend
	if !b.up {
		return
	}
	w.counts["changes of servers"]++
	b.crash()
	w.after(w.between(0, maxDown), func() {
		if !b.up {
			k := drawKind(w)
			k.label = otherKind[b.labels[0]]
			b.become(k)
			b.restart()
		}
	})
}
