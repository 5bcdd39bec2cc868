package scheduler

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// supply is the capacity of the workers of a service, as far as this coordinator knows it.
type supply struct {
	candidates []candidate
	cores      float64                // of the candidates, as coresOf counts them, in thousandths
	reporting  int                    // candidates that have lately reported the work which waits there for other coordinators
	age        time.Duration          // of the oldest of these reports
	scale      float64                // number of eligible workers over maxCandidates; at least 1
	sharers    float64                // number of coordinators that share the workers, with this one
	freshOnly  bool                   // capacity is requested, so only fresh statuses count
	reaches    map[*taskGroup]float64 // results of reach
}

// supplyOf returns the capacity of the workers of the service.
func (c *Core) supplyOf(now time.Time, service string) *supply {
	s := &supply{candidates: c.candidates(now, service, c.sample(service)), scale: 1, sharers: max(1, c.sharers[service]), freshOnly: c.requesting(service), reaches: make(map[*taskGroup]float64)}
	for i := range s.candidates {
		w := s.candidates[i].w
		s.cores += c.coresOf(w)
		if c.reportsWaiting(now, w) {
			s.reporting++
			s.age = max(s.age, now.Sub(w.statusAt))
		}
	}
	if n := len(c.eligible); n > maxCandidates {
		s.scale = float64(n) / maxCandidates
	}
	return s
}

// reach returns the share of the cores that are of workers which can run the task, once they have free
// capacity. The task's work delays others by that share only: they find the rest of the workers free, and
// all of them if no worker can run the task.
func (c *Core) reach(s *supply, t *task) float64 {
	if r, known := s.reaches[t.group]; known {
		return r
	}
	cores := 0.0
	for i := range s.candidates {
		cand := &s.candidates[i]
		if t.step.Need.Fits(cand.w.identity.Capacity) && cand.w.hasLabel(t.step.Requires) {
			cores += c.coresOf(cand.w)
		}
	}
	r := 1.0
	if cores < s.cores {
		r = cores / s.cores
	}
	s.reaches[t.group] = r
	return r
}

// evenShare returns this coordinator's even share of the cores, in thousandths.
func (s *supply) evenShare() float64 { return s.cores * s.scale / s.sharers }

// coresOf returns the worker's cores in thousandths. Those of a slow worker count for less: as many as
// would do the same work if runs took exactly their estimates. Those of a fast worker count for no more
// than they are: tasks with little slack are held for them, so that not all that waits gets its share of
// their speed, and jobs admitted for it would be late.
func (c *Core) coresOf(w *worker) float64 {
	cores := float64(w.identity.Capacity.CPU)
	if c.cfg.Load.PlaceBySpeed {
		cores /= max(1, w.timeFactor())
	}
	return cores
}

// staleHeartbeats is the age, in heartbeat intervals, beyond which a report of waiting work is stale.
const staleHeartbeats = 2

// reportsWaiting returns whether the worker has lately reported the work that waits there for other
// coordinators.
func (c *Core) reportsWaiting(now time.Time, w *worker) bool {
	return c.cfg.Load.AdmitByAll && c.cfg.Load.AskForRoom && now.Sub(w.statusAt) <= staleHeartbeats*c.cfg.Heartbeat
}

// startable returns how many tasks that each take need could start at once, after others have used
// taken thousandths of a core. The workers are those that the constraints of t allow.
func (s *supply) startable(t *task, need durable.Resources, taken float64) int64 {
	n := int64(0)
	for i := range s.candidates {
		cand := &s.candidates[i]
		if s.freshOnly && !cand.fresh || !allowedOn(t, cand.w) {
			continue
		}
		n += need.CountIn(cand.free)
	}
	return n - int64(taken/float64(max(1, need.CPU)))
}

// workElsewhere returns the work that waits at other coordinators and has an earlier virtual
// deadline than the given one. It is what workers have reported; for workers without a recent report,
// each other coordinator is taken to have as much as this one, which is own.
func (c *Core) workElsewhere(now time.Time, s *supply, deadline time.Time, own float64) float64 {
	reported, stale := 0.0, len(s.candidates)-s.reporting
	for i := range s.candidates {
		w := s.candidates[i].w
		if !c.reportsWaiting(now, w) {
			continue
		}
		for k := range w.status.Waiting {
			reported += w.waitingBefore(k, deadline)
		}
	}
	even := own * (s.sharers - 1) * float64(stale) / float64(max(1, len(s.candidates)))
	return reported*s.scale + even
}

// waitingBefore returns the part of the k-th row of waiting work in the worker's status that has an
// earlier virtual deadline than the given one, in thousandths of a core times nanoseconds. The work
// is taken to be spread evenly between the row's first and last virtual deadlines.
func (w *worker) waitingBefore(k int, deadline time.Time) float64 {
	row := &w.status.Waiting[k]
	work := float64(row.Work) * float64(time.Millisecond)
	first := w.statusAt.Add(time.Duration(row.FirstMS) * time.Millisecond)
	length := time.Duration(row.LastMS-row.FirstMS) * time.Millisecond
	since := deadline.Sub(first)
	switch {
	case since < 0:
		return 0
	case since >= length:
		return work
	}
	return work * float64(since) / float64(length)
}

// Forecast is how long a job is expected to wait, and for which work.
type Forecast struct {
	Class   int           // of the job; 0 is the most urgent
	Own     time.Duration // wait for work that is queued at this coordinator
	Others  time.Duration // wait for work that is queued at other coordinators
	Later   time.Duration // wait for work that has yet to arrive and will precede the job
	Age     time.Duration // of the oldest report of the work at other coordinators
	Unknown int           // number of workers without a recent report of that work
	Allowed time.Duration // how long the job may wait
}

// Wait returns how long the job is expected to wait in all.
func (f *Forecast) Wait() time.Duration { return f.Own + f.Others + f.Later }

// forecast returns how long a job whose first task is t is expected to wait, given the own work that
// precedes it at this coordinator, in thousandths of a core times nanoseconds.
func (c *Core) forecast(now time.Time, s *supply, t *task, own float64) Forecast {
	deadline := t.virtualDeadline()
	cores := s.cores * s.scale
	f := Forecast{
		Class:   t.job.class,
		Own:     time.Duration(own / cores),
		Others:  time.Duration(c.workElsewhere(now, s, deadline, own) / cores),
		Age:     s.age,
		Unknown: len(s.candidates) - s.reporting,
	}
	if c.cfg.Load.AdmitByAll {
		a := c.arrivalsBefore(now, t.job, deadline, s.evenShare())
		f.Later = min(time.Duration(float64(f.Own+f.Others)*a.share/(1-a.share)), a.limit)
	}
	return f
}
