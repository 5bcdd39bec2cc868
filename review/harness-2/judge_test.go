//go:build review

package harness2

import (
	"fmt"
	"time"
)

// The bounds of the rule LOST on jobs that stand still, in RULES.md, and the users' finish_s.
const (
	standstill = 3 * time.Second  // that a job may have nothing running while there is capacity
	calmBefore = 4 * time.Second  // that has to be calm before these
	finish     = 14 * time.Second // after the end of the traffic, when jobs are queried
	sample     = 50 * time.Millisecond
)

// usage is how much of the executors' capacity is in use at one moment, in thousandths of a core.
type usage struct {
	used, capacity int64
	mostFree       int64 // at one executor that allows the task
}

// usageAt returns the usage at the time, of the executors that have the label and are up.
func (s *system) usageAt(at time.Time, runs []run, label string) usage {
	var u usage
	byName := make(map[string]int64)
	for i := range runs {
		if runs[i].ongoingAt(at) {
			byName[runs[i].executor] += runs[i].cpu
		}
	}
	for _, e := range s.executors {
		u.used += byName[e.name]
		u.capacity += e.capacity
		if e.labels[0] == label && !e.gone {
			u.mostFree = max(u.mostFree, e.capacity-byName[e.name])
		}
	}
	return u
}

// stoodStill returns the first time from which the accepted job, which was not over, had nothing running
// for standstill while under half of the capacity was in use and one executor had room for need twice
// over. from is the earliest time that is calm and has calmBefore calm before it; zero is returned if
// there is none. A job that is over was so at the end of its last run.
func (s *system) stoodStill(j *job, runs []run, from time.Time, over bool, need int64, label string) time.Time {
	var mine []run
	last := time.Time{}
	for _, r := range runs {
		if r.job() == j.id {
			mine = append(mine, r)
			last = later(last, r.ended)
		}
	}
	until := time.Now()
	if over {
		until = last
	}
	start := later(from, j.accepted)
	for at := start; !at.After(until); at = at.Add(sample) {
		u := s.usageAt(at, runs, label)
		idle := 2*u.used < u.capacity && u.mostFree >= 2*need
		for i := range mine {
			idle = idle && !mine[i].ongoingAt(at)
		}
		if !idle {
			start = at.Add(sample)
			continue
		}
		if at.Sub(start) >= standstill {
			return start
		}
	}
	return time.Time{}
}

// describe returns a line about a job that stood still.
func (s *system) describe(j *job, since time.Time, state string) string {
	return fmt.Sprintf("job %s, accepted at %.3f, has nothing running for 3 s from %.3f on while capacity is free; its state at the end: %s",
		j.id, j.accepted.Sub(s.rec.began).Seconds(), since.Sub(s.rec.began).Seconds(), state)
}
