package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// supply is what the workers of a service give, as far as it is known here.
type supply struct {
	candidates []candidate
	cores      float64       // of those that take tasks, at their speed, in thousandths
	fresh      int           // candidates that have told of late what waits there for others
	age        time.Duration // of the oldest of those words
	scale      float64       // workers that may be chosen, for each candidate
	sharers    float64       // coordinators that share the workers, with this one
	short      bool          // room is asked for: of free room only what is fresh is believed
}

// supplyOf returns what the workers of the service give.
func (c *Core) supplyOf(now time.Time, service string) *supply {
	s := &supply{candidates: c.candidates(now, service), scale: 1, sharers: max(1, c.sharers[service]), short: c.asking(service)}
	for i := range s.candidates {
		w := s.candidates[i].w
		s.cores += c.coresOf(w)
		if c.tellsWaiting(now, w) {
			s.fresh++
			s.age = max(s.age, now.Sub(w.statusAt))
		}
	}
	if n := len(c.eligible); n > maxCandidates {
		s.scale = float64(n) / maxCandidates
	}
	return s
}

// ours returns our even share of the cores, in thousandths.
func (s *supply) ours() float64 { return s.cores * s.scale / s.sharers }

// coresOf returns the worker's thousandths of a core, as many as servers of the usual speed
// would need for the same.
func (c *Core) coresOf(w *worker) float64 {
	cores := float64(w.identity.Capacity.CPU)
	if c.cfg.Load.PlaceBySpeed {
		cores /= w.timeFactor()
	}
	return cores
}

// staleAfter is how many heartbeats old a word of what waits may be.
const staleAfter = 2

// tellsWaiting returns whether it is known of late what waits at the worker for others.
func (c *Core) tellsWaiting(now time.Time, w *worker) bool {
	return c.cfg.Load.AdmitByAll && c.cfg.Load.AskForRoom && now.Sub(w.statusAt) <= staleAfter*c.cfg.Heartbeat
}

// room returns how many of the tasks could begin at once, of which each takes need, with
// taken thousandths of a core used by others before them.
func (s *supply) room(t *task, need durable.Resources, taken float64) int64 {
	n := int64(0)
	for i := range s.candidates {
		cand := &s.candidates[i]
		if s.short && !cand.fresh || !allowed(t, cand.w) {
			continue
		}
		n += need.CountIn(cand.free)
	}
	return n - int64(taken/float64(max(1, need.CPU)))
}

// others returns the work that waits elsewhere and has its turn before: what workers told, and
// where that is not known, as much for each other coordinator as own, ours.
func (c *Core) others(now time.Time, s *supply, turn time.Time, own float64) float64 {
	told, stale := 0.0, len(s.candidates)-s.fresh
	for i := range s.candidates {
		w := s.candidates[i].w
		if !c.tellsWaiting(now, w) {
			continue
		}
		for k := range w.status.Waiting {
			told += w.waitsBefore(k, turn)
		}
	}
	even := own * (s.sharers - 1) * float64(stale) / float64(max(1, len(s.candidates)))
	return told*s.scale + even
}

// waitsBefore returns the work of the worker's k-th span that has its turn before, in thousandths
// of a core times nanoseconds. Between the first and the last turn it is taken to be even.
func (w *worker) waitsBefore(k int, turn time.Time) float64 {
	span := &w.status.Waiting[k]
	work := float64(span.Work) * float64(time.Millisecond)
	first := w.statusAt.Add(time.Duration(span.FirstMS) * time.Millisecond)
	length := time.Duration(span.LastMS-span.FirstMS) * time.Millisecond
	since := turn.Sub(first)
	switch {
	case since < 0:
		return 0
	case since >= length:
		return work
	}
	return work * float64(since) / float64(length)
}

// Forecast is how long a job is thought to wait, and what for.
type Forecast struct {
	Class   int           // of the job; 0 is the most urgent
	Own     time.Duration // for work that waits at this coordinator
	Others  time.Duration // for work that waits at others
	Later   time.Duration // for work that will come, and come first
	Age     time.Duration // of the oldest word of what waits at others
	Unknown int           // workers of which there is no fresh word of it
	Allowed time.Duration // how long it may wait
}

// Wait returns how long the job is thought to wait.
func (f *Forecast) Wait() time.Duration { return f.Own + f.Others + f.Later }

// forecast returns how long the job will wait whose first task is t, with own work before it
// here, in thousandths of a core times nanoseconds.
func (c *Core) forecast(now time.Time, s *supply, t *task, own float64) Forecast {
	turn := t.virtualDeadline()
	cores := s.cores * s.scale
	f := Forecast{
		Class:   t.job.class,
		Own:     time.Duration(own / cores),
		Others:  time.Duration(c.others(now, s, turn, own) / cores),
		Age:     s.age,
		Unknown: len(s.candidates) - s.fresh,
	}
	if c.cfg.Load.AdmitByAll {
		a := c.arrivalsBefore(now, t.job, turn, s.ours())
		f.Later = min(time.Duration(float64(f.Own+f.Others)*a.share/(1-a.share)), a.most)
	}
	return f
}
