package dispatch_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/wire"
)

// TestMain sets a fixed seed, so that CI gives the same result every time. Longer
// runs set LICHENFALL_CASES and LICHENFALL_SEED; see the Makefile.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlag("rapid.seed", os.Getenv("LICHENFALL_SEED"), "20261202")
	setFlag("rapid.checks", os.Getenv("LICHENFALL_CASES"), "2000")
	setFlag("rapid.nofailfile", "true", "true")
	os.Exit(m.Run())
}

func setFlag(name, value, otherwise string) {
	if value == "" {
		value = otherwise
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// TestRandomised runs random sequences of submissions, resent calls and faults,
// which may overlap and repeat, and checks the promises at every start of a task
// and every answer.
func TestRandomised(t *testing.T) {
	events := &tally{counts: make(map[string]int)}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, events, 2, 3)
		for range w.randInt(10, 120) {
			w.step()
		}
		w.quiesce()
	})
	t.Logf("what was met:\n%s", events)
	for _, must := range []string{
		"answer: complete", "claim: granted", "claim: held", "claim: unknown", "claim: mismatch",
		"fault: agent crash", "fault: entry crash", "fault: pause", "fault: cut", "fault: leave",
		"fault: repeated answer", "fault: repeated request", "claim: too_early",
	} {
		if events.counts[must] == 0 {
			t.Errorf("the run had no event %q", must)
		}
	}
}

// step performs one random action.
func (w *world) step() {
	actions := []struct {
		weight int
		do     func()
	}{
		{40, w.deliverMessages}, {14, w.finishTask}, {14, w.submitNew}, {10, w.resend}, {10, w.advanceShort},
		{2, w.crashAgent}, {2, w.crashEntry}, {3, w.pauseProcess}, {3, w.resumeProcess}, {3, w.cutConn},
		{3, w.reconnect}, {2, w.repeatMessage}, {1, w.leaveAgent}, {1, w.advanceLong}, {1, w.stopEntry},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := w.randInt(0, total-1)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			a.do()
			return
		}
	}
}

// deliverable returns a function for each direction of a connection that has a
// message, or its end, for a receiver that is not paused. The function delivers
// it.
func (w *world) deliverable() []func() {
	var out []func()
	for _, c := range w.conns {
		if c.toPeer.ready() && w.peerAlive(c) && !w.peerPaused(c) {
			out = append(out, func() { w.deliverToPeer(c) })
		}
		if c.toEntry.ready() && w.entryAlive(c) && !w.entries[c.entry].paused {
			out = append(out, func() { w.deliverToEntry(c) })
		}
	}
	return out
}

func (w *world) peerPaused(c *conn) bool {
	if a := w.agentAt(c.peer); a != nil {
		return a.paused
	}
	return w.entryAt(c.peer).paused
}

func (w *world) deliverMessages() {
	for range w.randInt(1, 4) {
		ready := w.deliverable()
		if len(ready) == 0 {
			return
		}
		ready[w.randInt(0, len(ready)-1)]()
	}
}

func (w *world) finishTask() {
	a := w.agents[w.randInt(0, len(w.agents)-1)]
	if a.paused || len(a.running) == 0 {
		return
	}
	i := w.randInt(0, len(a.running)-1)
	r := a.running[i]
	a.running = append(a.running[:i], a.running[i+1:]...)
	a.queue.Finished(w.agentNow(a), r.task, r.outcome)
	w.flushAgent(a)
}

func (w *world) submitNew() {
	n := w.randInt(1, 4)
	age := time.Duration(w.randInt64(-int64(clockBound), int64(clockBound)))
	id := fmt.Sprintf("s%d@%d", len(w.subs), w.now.Add(-age).UnixMilli())
	s := &job.Submission{ID: id, Workspace: "team", Pool: "pool", Digest: sha256.Sum256([]byte(id))}
	for range n {
		s.Payloads = append(s.Payloads, []byte("{}"))
	}
	w.subs = append(w.subs, s)
	w.submit(s, w.randInt(0, len(w.entries)-1))
}

func (w *world) resend() {
	if len(w.subs) == 0 {
		return
	}
	s := *w.subs[w.randInt(max(0, len(w.subs)-10), len(w.subs)-1)]
	if w.randInt(0, 19) == 0 {
		s.Digest[0]++
	}
	w.submit(&s, w.randInt(0, len(w.entries)-1))
}

func (w *world) submit(s *job.Submission, entry int) {
	e := w.entries[entry]
	if e.paused {
		return
	}
	c := *s
	c.Payloads = nil
	for range s.Payloads {
		c.Payloads = append(c.Payloads, []byte(content(s)))
	}
	c.Deadline = w.entryNow(e).Add(time.Duration(w.randInt(50, 3000)) * time.Millisecond)
	w.caller++
	w.calls[w.caller] = &call{sub: &c, entry: entry, inc: e.inc, tasks: len(s.Payloads)}
	e.core.Submit(w.entryNow(e), w.caller, &c)
	w.flushEntry(e)
}

func (w *world) advanceShort() {
	w.advance(time.Duration(w.randInt(1, 100)) * time.Millisecond)
}

func (w *world) advanceLong() {
	w.events.add("fault: long wait")
	w.advance(time.Duration(w.randInt(1, 30)) * time.Second)
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.entries {
		if !e.paused {
			e.core.Tick(w.entryNow(e))
			w.flushEntry(e)
		}
	}
	for _, a := range w.agents {
		if !a.paused {
			a.queue.Expire(w.agentNow(a))
			w.flushAgent(a)
		}
	}
}

func (w *world) crashAgent() {
	w.events.add("fault: agent crash")
	i := w.randInt(0, len(w.agents)-1)
	for _, c := range w.conns {
		if c.peer == w.agents[i].address && c.peerInc == w.agents[i].inc {
			w.breakConn(c)
		}
	}
	w.startAgent(i)
}

func (w *world) crashEntry() {
	w.events.add("fault: entry crash")
	i := w.randInt(0, len(w.entries)-1)
	for _, c := range w.conns {
		dialled := c.peer == w.entries[i].address && c.peerInc == w.entries[i].inc
		if dialled || c.entry == i && c.entryInc == w.entries[i].inc {
			w.breakConn(c)
		}
	}
	w.startEntry(i)
}

func (w *world) pauseProcess() {
	w.events.add("fault: pause")
	n := w.randInt(0, len(w.agents)+len(w.entries)-1)
	if n < len(w.agents) {
		w.agents[n].paused = true
		return
	}
	w.entries[n-len(w.agents)].paused = true
}

func (w *world) resumeProcess() {
	n := w.randInt(0, len(w.agents)+len(w.entries)-1)
	if n < len(w.agents) {
		w.agents[n].paused = false
		return
	}
	w.entries[n-len(w.agents)].paused = false
}

func (w *world) cutConn() {
	if len(w.conns) == 0 {
		return
	}
	w.events.add("fault: cut")
	w.breakConn(w.conns[w.randInt(max(0, len(w.conns)-8), len(w.conns)-1)])
}

// repeatMessage duplicates a message in flight in each direction. The duplicate
// to an entry may use another connection of the same process.
func (w *world) repeatMessage() {
	from := w.conns[w.randInt(max(0, len(w.conns)-8), len(w.conns)-1)]
	to := w.conns[w.randInt(max(0, len(w.conns)-8), len(w.conns)-1)]
	if n := len(from.toEntry.messages); n > 0 && from.entry == to.entry && from.entryInc == to.entryInc {
		w.events.add("fault: repeated answer")
		to.toEntry.push(from.toEntry.messages[w.randInt(0, n-1)])
	}
	if n := len(from.toPeer.messages); n > 0 {
		w.events.add("fault: repeated request")
		from.toPeer.push(from.toPeer.messages[w.randInt(0, n-1)])
	}
}

func (w *world) leaveAgent() {
	w.events.add("fault: leave")
	a := w.agents[w.randInt(0, len(w.agents)-1)]
	if a.paused {
		return
	}
	a.queue.Leave()
	w.flushAgent(a)
	a.left = true
	for _, c := range w.conns {
		if c.peer == a.address && c.peerInc == a.inc {
			c.toEntry.push(&wire.Results{Load: a.queue.Load(c.link)})
		}
	}
}

func (w *world) stopEntry() {
	w.events.add("fault: planned stop of an entry")
	w.entries[w.randInt(0, len(w.entries)-1)].core.Stop()
}

// quiesce ends all faults, and delivers all messages and finishes all tasks
// during 4 s of virtual time. Every caller whose entry has not crashed must then
// have an answer.
func (w *world) quiesce() {
	for _, a := range w.agents {
		a.paused = false
	}
	for _, e := range w.entries {
		e.paused = false
	}
	for range 40 {
		for range 2000 {
			ready := w.deliverable()
			if len(ready) == 0 {
				break
			}
			ready[0]()
		}
		for _, a := range w.agents {
			for len(a.running) > 0 {
				r := a.running[0]
				a.running = a.running[1:]
				a.queue.Finished(w.agentNow(a), r.task, r.outcome)
			}
			w.flushAgent(a)
		}
		w.advance(100 * time.Millisecond)
	}
	w.checkNotRun()
	w.checkRefused()
	for n, c := range w.calls {
		if c.answer == nil && w.entries[c.entry].inc == c.inc {
			w.t.Fatalf("caller %d of %s was never answered", n, c.sub.ID)
		}
	}
}
