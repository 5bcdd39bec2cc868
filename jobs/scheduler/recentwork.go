package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// recentWork is the work of one queue that came of late: sums that fade.
type recentWork struct {
	queue   string
	class   int
	at      time.Time // until when it has faded
	offered float64   // thousandths of a core x nanoseconds
	taken   float64   // the same, of what was neither refused nor late
	turns   float64   // offered work x nanoseconds from its coming to its turn
}

// flowSpan is over how long flows fade to 1/e.
const flowSpan = time.Second

// faded returns what is left of 1 after a while.
func faded(d time.Duration) float64 { return math.Exp(-float64(d) / float64(flowSpan)) }

func (f *recentWork) fade(now time.Time) {
	if now.Equal(f.at) {
		return
	}
	keep := faded(now.Sub(f.at))
	f.offered, f.taken, f.turns = keep*f.offered, keep*f.taken, keep*f.turns
	f.at = now
}

// turn returns how long after a job's coming its turn is, on the average.
func (f *recentWork) turn() time.Duration { return time.Duration(f.turns / max(1, f.offered)) }

// work returns the job's work, in thousandths of a core times nanoseconds.
func (j *job) work() float64 {
	work := 0.0
	for i := range j.sub.Steps {
		step := &j.sub.Steps[i]
		work += float64(step.Count) * float64(step.Need.CPU) * float64(step.Estimate())
	}
	return work
}

// flowOf returns what came of late of the job's queue.
func (c *Core) flowOf(now time.Time, j *job) *recentWork {
	flows := c.recent[j.sub.Queue.Service]
	at, known := slices.BinarySearchFunc(flows, j.sub.Queue.Name, func(f *recentWork, queue string) int {
		return cmp.Compare(f.queue, queue)
	})
	if !known {
		flows = slices.Insert(flows, at, &recentWork{queue: j.sub.Queue.Name, at: now})
		c.recent[j.sub.Queue.Service] = flows
	}
	f := flows[at]
	f.class = c.cfg.Load.class(j.sub.Queue.Priority)
	f.fade(now)
	return f
}

// forgotten is the offered work that counts for nothing any more: a core for a nanosecond.
const forgotten = 1000

// flowsNow returns what came of late, by queue, and forgets queues to which nothing came.
func (c *Core) flowsNow(now time.Time, service string) []*recentWork {
	flows := slices.DeleteFunc(c.recent[service], func(f *recentWork) bool {
		f.fade(now)
		return f.offered < forgotten
	})
	c.recent[service] = flows
	return flows
}

// noteOffered notes that a job has come.
func (c *Core) noteOffered(now time.Time, j *job) {
	f, work := c.flowOf(now, j), j.work()
	f.offered += work
	f.turns += work * float64(j.tasks[0].virtualDeadline().Sub(now))
}

// noteAdmitted notes that a job has been let in; given that it was refused after all, or was late.
func (c *Core) noteAdmitted(now time.Time, j *job) { c.flowOf(now, j).taken += j.work() }

func (c *Core) retractAdmitted(now time.Time, j *job) {
	f := c.flowOf(now, j)
	f.taken = max(0, f.taken-j.work()*faded(now.Sub(j.received)))
}

// How much of a class is taken at least, as a share of the class of which most is: of the last
// nearly as much, of each before it a little more.
const (
	leastOfBest     = 0.9  // of the last class
	leastOfBestStep = 0.05 // more of each class before it
)

// leftBehind returns whether of the job's class too little has been taken of late: with half of
// the job less than its least, and without it less than of any more urgent class and than an even
// part among the classes that ask of ours, our share of the capacity in thousandths of a core. So a
// class that asks for more pays for it itself, and none is served better than a more urgent one.
func (c *Core) leftBehind(now time.Time, j *job, ours float64) bool {
	class := j.class
	if !c.cfg.Load.OrderByPriority || class == 0 {
		return false
	}
	var offered, taken [lastClass + 1]float64
	for _, f := range c.flowsNow(now, j.sub.Queue.Service) {
		offered[f.class] += f.offered
		taken[f.class] += f.taken
	}
	best, urgent, classes := 0.0, 1.0, 0.0
	for k := range offered {
		if offered[k] == 0 {
			continue
		}
		classes++
		best = max(best, taken[k]/offered[k])
		if k < class {
			urgent = min(urgent, taken[k]/offered[k])
		}
	}
	even := ours * float64(flowSpan) / max(1, classes)
	least := leastOfBest + leastOfBestStep*float64(lastClass-class)
	return taken[class]+j.work()/2 <= least*best*offered[class] && taken[class] < min(urgent*offered[class], even)
}

// arrivals is the work that will come and has its turn before a job's.
type arrivals struct {
	share float64       // of the capacity, while any of it comes
	most  time.Duration // what all of it takes on the capacity
}

// leastStarted is the share of our part of the capacity from which on what we have taken tells
// what is taken at all coordinators.
const leastStarted = 0.25

// mostArrivals bounds the share of the capacity that what comes may be thought to take.
const mostArrivals = 0.8

// arrivalsBefore returns what will come before the turn, by what came of late: of the same and
// later classes what was taken, of more urgent ones what was offered, as shares of all that was
// taken here: others are thought to get the same mix, however many callers each has. ours is our
// share of the capacity, in thousandths of a core.
func (c *Core) arrivalsBefore(now time.Time, j *job, turn time.Time, ours float64) arrivals {
	flows := c.flowsNow(now, j.sub.Queue.Service)
	total := 0.0
	for _, f := range flows {
		total += f.taken
	}
	total = max(total, leastStarted*ours*float64(flowSpan), 1)
	var a arrivals
	for _, f := range flows {
		window := turn.Sub(now) - f.turn()
		if window <= 0 {
			continue
		}
		work := f.taken
		if f.class < j.class {
			work = f.offered
		}
		a.share += work / total
		a.most += time.Duration(work / total * float64(window))
	}
	a.share = min(a.share, mostArrivals)
	return a
}
