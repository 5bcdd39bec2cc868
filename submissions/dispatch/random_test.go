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

// TestMain fixes the seed, so that CI gives the same verdict every time.
// Longer runs set LICHENFALL_CASES and LICHENFALL_SEED; see the Makefile.
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

// TestRandomised draws submissions, resends and faults in any order, together
// and twice, and checks the promises after each step.
func TestRandomised(t *testing.T) {
	seen := &tally{counts: make(map[string]int)}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, seen, 2, 3)
		for range w.between(10, 120) {
			w.step()
		}
		w.calm()
	})
	t.Logf("what was met:\n%s", seen)
	for _, must := range []string{
		"answer: complete", "claim: granted", "claim: held", "claim: unknown", "claim: mismatch",
		"fault: agent crash", "fault: entry crash", "fault: pause", "fault: cut", "fault: leave",
		"fault: repeated answer", "fault: repeated request", "claim: too_early",
	} {
		if seen.counts[must] == 0 {
			t.Errorf("the run never met %q", must)
		}
	}
}

// step draws one thing that happens.
func (w *world) step() {
	actions := []struct {
		weight int
		do     func()
	}{
		{40, w.deliverSome}, {14, w.finishSome}, {14, w.submitNew}, {10, w.resend}, {10, w.pass},
		{2, w.crashAgent}, {2, w.crashEntry}, {3, w.pauseSome}, {3, w.resumeSome}, {3, w.cut},
		{3, w.reconnect}, {2, w.repeat}, {1, w.leave}, {1, w.passLong}, {1, w.stopEntry},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := w.between(0, total-1)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			a.do()
			return
		}
	}
}

// open returns what could be delivered now: functions, one for each direction
// of a connection that has something for a running receiver.
func (w *world) open() []func() {
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

func (w *world) deliverSome() {
	for range w.between(1, 4) {
		open := w.open()
		if len(open) == 0 {
			return
		}
		open[w.between(0, len(open)-1)]()
	}
}

func (w *world) finishSome() {
	a := w.agents[w.between(0, len(w.agents)-1)]
	if a.paused || len(a.running) == 0 {
		return
	}
	i := w.between(0, len(a.running)-1)
	r := a.running[i]
	a.running = append(a.running[:i], a.running[i+1:]...)
	a.queue.Finished(w.agentNow(a), r.task, r.outcome)
	w.flushAgent(a)
}

func (w *world) submitNew() {
	n := w.between(1, 4)
	age := time.Duration(w.between64(-int64(clockBound), int64(clockBound)))
	id := fmt.Sprintf("s%d@%d", len(w.subs), w.now.Add(-age).UnixMilli())
	s := &job.Submission{ID: id, Workspace: "team", Pool: "pool", Digest: sha256.Sum256([]byte(id))}
	for range n {
		s.Payloads = append(s.Payloads, []byte("{}"))
	}
	w.subs = append(w.subs, s)
	w.submit(s, w.between(0, len(w.entries)-1))
}

func (w *world) resend() {
	if len(w.subs) == 0 {
		return
	}
	s := *w.subs[w.between(max(0, len(w.subs)-10), len(w.subs)-1)]
	if w.between(0, 19) == 0 {
		s.Digest[0]++
	}
	w.submit(&s, w.between(0, len(w.entries)-1))
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
	c.Deadline = w.entryNow(e).Add(time.Duration(w.between(50, 3000)) * time.Millisecond)
	w.caller++
	w.calls[w.caller] = &call{sub: &c, entry: entry, inc: e.inc, tasks: len(s.Payloads)}
	e.core.Submit(w.entryNow(e), w.caller, &c)
	w.flushEntry(e)
}

func (w *world) pass() {
	w.advance(time.Duration(w.between(1, 100)) * time.Millisecond)
}

func (w *world) passLong() {
	w.seen.add("fault: long wait")
	w.advance(time.Duration(w.between(1, 30)) * time.Second)
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
	w.seen.add("fault: agent crash")
	i := w.between(0, len(w.agents)-1)
	for _, c := range w.conns {
		if c.peer == w.agents[i].address && c.peerInc == w.agents[i].inc {
			w.breakConn(c)
		}
	}
	w.startAgent(i)
}

func (w *world) crashEntry() {
	w.seen.add("fault: entry crash")
	i := w.between(0, len(w.entries)-1)
	for _, c := range w.conns {
		dialled := c.peer == w.entries[i].address && c.peerInc == w.entries[i].inc
		if dialled || c.entry == i && c.entryInc == w.entries[i].inc {
			w.breakConn(c)
		}
	}
	w.startEntry(i)
}

func (w *world) pauseSome() {
	w.seen.add("fault: pause")
	n := w.between(0, len(w.agents)+len(w.entries)-1)
	if n < len(w.agents) {
		w.agents[n].paused = true
		return
	}
	w.entries[n-len(w.agents)].paused = true
}

func (w *world) resumeSome() {
	n := w.between(0, len(w.agents)+len(w.entries)-1)
	if n < len(w.agents) {
		w.agents[n].paused = false
		return
	}
	w.entries[n-len(w.agents)].paused = false
}

func (w *world) cut() {
	if len(w.conns) == 0 {
		return
	}
	w.seen.add("fault: cut")
	w.breakConn(w.conns[w.between(max(0, len(w.conns)-8), len(w.conns)-1)])
}

// repeat lets a message that is under way arrive once more, perhaps on another
// connection to the same process.
func (w *world) repeat() {
	from := w.conns[w.between(max(0, len(w.conns)-8), len(w.conns)-1)]
	to := w.conns[w.between(max(0, len(w.conns)-8), len(w.conns)-1)]
	if n := len(from.toEntry.messages); n > 0 && from.entry == to.entry && from.entryInc == to.entryInc {
		w.seen.add("fault: repeated answer")
		to.toEntry.push(from.toEntry.messages[w.between(0, n-1)])
	}
	if n := len(from.toPeer.messages); n > 0 {
		w.seen.add("fault: repeated request")
		from.toPeer.push(from.toPeer.messages[w.between(0, n-1)])
	}
}

func (w *world) leave() {
	w.seen.add("fault: leave")
	a := w.agents[w.between(0, len(w.agents)-1)]
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
	w.seen.add("fault: planned stop of an entry")
	w.entries[w.between(0, len(w.entries)-1)].core.Stop()
}

// calm ends all faults and lets everything come to its end. Every caller whose
// entry still lives must then have an answer.
func (w *world) calm() {
	for _, a := range w.agents {
		a.paused = false
	}
	for _, e := range w.entries {
		e.paused = false
	}
	for range 40 {
		for range 2000 {
			open := w.open()
			if len(open) == 0 {
				break
			}
			open[0]()
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
