package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// recentWork holds sums over the recent work of one queue. They decay exponentially with decayTime,
// so that each is a rate times decayTime.
type recentWork struct {
	queue    string
	class    int
	at       time.Time // up to when the sums have decayed
	offered  float64   // work that was submitted, in thousandths of a core times nanoseconds
	admitted float64   // the part of it that was neither refused nor late
	slack    float64   // offered work times the nanoseconds from its arrival to its virtual deadline
}

// decayTime is the time in which the sums decay to 1/e.
const decayTime = time.Second

// decay returns the factor by which a sum decays in the time.
func decay(d time.Duration) float64 { return math.Exp(-float64(d) / float64(decayTime)) }

func (r *recentWork) decayTo(now time.Time) {
	if now.Equal(r.at) {
		return
	}
	keep := decay(now.Sub(r.at))
	r.offered, r.admitted, r.slack = keep*r.offered, keep*r.admitted, keep*r.slack
	r.at = now
}

// meanSlack returns the mean time from a job's arrival to its virtual deadline, weighted by work.
func (r *recentWork) meanSlack() time.Duration { return time.Duration(r.slack / max(1, r.offered)) }

// work returns the job's work, in thousandths of a core times nanoseconds.
func (j *job) work() float64 {
	work := 0.0
	for i := range j.sub.Steps {
		step := &j.sub.Steps[i]
		work += float64(step.Count) * float64(step.Need.CPU) * float64(step.Estimate())
	}
	return work
}

// recentWorkOf returns the recent work of the job's queue.
func (c *Core) recentWorkOf(now time.Time, j *job) *recentWork {
	queues := c.recent[j.sub.Queue.Service]
	at, known := slices.BinarySearchFunc(queues, j.sub.Queue.Name, func(r *recentWork, queue string) int {
		return cmp.Compare(r.queue, queue)
	})
	if !known {
		queues = slices.Insert(queues, at, &recentWork{queue: j.sub.Queue.Name, at: now})
		c.recent[j.sub.Queue.Service] = queues
	}
	r := queues[at]
	r.class = c.cfg.Load.class(j.sub.Queue.Priority)
	r.decayTo(now)
	return r
}

// negligibleWork is the offered work below which a queue is forgotten: a core for a nanosecond.
const negligibleWork = 1000

// recentWorkNow returns the recent work of the service's queues, and forgets queues without any.
func (c *Core) recentWorkNow(now time.Time, service string) []*recentWork {
	queues := slices.DeleteFunc(c.recent[service], func(r *recentWork) bool {
		r.decayTo(now)
		return r.offered < negligibleWork
	})
	c.recent[service] = queues
	return queues
}

// noteOffered adds a job that has arrived to the offered work of its queue.
func (c *Core) noteOffered(now time.Time, j *job) {
	r, work := c.recentWorkOf(now, j), j.work()
	r.offered += work
	r.slack += work * float64(j.tasks[0].virtualDeadline().Sub(now))
}

// noteAdmitted adds a job to the admitted work of its queue.
func (c *Core) noteAdmitted(now time.Time, j *job) { c.recentWorkOf(now, j).admitted += j.work() }

// retractAdmitted removes an admitted job, which was refused later or ended late, from the admitted
// work of its queue.
func (c *Core) retractAdmitted(now time.Time, j *job) {
	r := c.recentWorkOf(now, j)
	r.admitted = max(0, r.admitted-j.work()*decay(now.Sub(j.received)))
}

// Of each class at least a certain share of its offered work should be admitted. This least share is a
// multiple of the highest admitted share of any class: somewhat less than one for the last class, and
// a little more for each class before it.
const (
	minShareOfBest = 0.9  // for the last class
	minShareStep   = 0.05 // added for each class before it
)

// underserved returns whether too little work of the job's class was admitted recently. It is, if
// with half of the job the class stays below its least share (minShareOfBest), and without the job
// both below the share of every more urgent class and below an even part, among the classes that
// offer work, of ownCores: this coordinator's share of the capacity in thousandths of a core. So a
// class that offers more work bears the refusals for it, and no class is served better than a more
// urgent one.
func (c *Core) underserved(now time.Time, j *job, ownCores float64) bool {
	class := j.class
	if !c.cfg.Load.OrderByPriority || class == 0 {
		return false
	}
	var offered, admitted [lastClass + 1]float64
	for _, r := range c.recentWorkNow(now, j.sub.Queue.Service) {
		offered[r.class] += r.offered
		admitted[r.class] += r.admitted
	}
	best, urgent, classes := 0.0, 1.0, 0.0
	for k := range offered {
		if offered[k] == 0 {
			continue
		}
		classes++
		best = max(best, admitted[k]/offered[k])
		if k < class {
			urgent = min(urgent, admitted[k]/offered[k])
		}
	}
	even := ownCores * float64(decayTime) / max(1, classes)
	least := minShareOfBest + minShareStep*float64(lastClass-class)
	return admitted[class]+j.work()/2 <= least*best*offered[class] && admitted[class] < min(urgent*offered[class], even)
}

// arrivals is the work that is expected to arrive and to precede a job.
type arrivals struct {
	share float64       // of the capacity that it takes while it arrives
	limit time.Duration // the time that all of it takes on the whole capacity
}

// minOwnShare is the least part of this coordinator's share of the capacity that is taken for the
// work admitted here. From less work the mix at all coordinators can't be estimated.
const minOwnShare = 0.25

// maxArrivalShare bounds the share of the capacity that arrivals are expected to take.
const maxArrivalShare = 0.8

// arrivalsBefore returns the work that is expected to arrive and to have an earlier virtual deadline
// than the given one. It follows recent work: the offered work of more urgent classes, and the
// admitted work of the same and later classes, each divided by all work that was admitted here. Other
// coordinators are taken to get the same mix, however many callers each has. ownCores is this
// coordinator's share of the capacity, in thousandths of a core.
func (c *Core) arrivalsBefore(now time.Time, j *job, deadline time.Time, ownCores float64) arrivals {
	queues := c.recentWorkNow(now, j.sub.Queue.Service)
	total := 0.0
	for _, r := range queues {
		total += r.admitted
	}
	total = max(total, minOwnShare*ownCores*float64(decayTime), 1)
	var a arrivals
	for _, r := range queues {
		window := deadline.Sub(now) - r.meanSlack()
		if window <= 0 {
			continue
		}
		work := r.admitted
		if r.class < j.class {
			work = r.offered
		}
		a.share += work / total
		a.limit += time.Duration(work / total * float64(window))
	}
	a.share = min(a.share, maxArrivalShare)
	return a
}
