//go:build review

package harness

import (
	"fmt"
	"slices"
	"time"
)

// allRuns returns the runs of all executors by task, each in the order of their starts.
func (s *system) allRuns() map[string][]run {
	out := make(map[string][]run)
	for _, w := range s.workers {
		for _, r := range w.executor.runs() {
			out[r.task] = append(out[r.task], r)
		}
	}
	for _, runs := range out {
		slices.SortFunc(runs, func(a, b run) int { return a.began.Compare(b.began) })
	}
	return out
}

// writeRuns writes all runs to the record.
func (s *system) writeRuns(only func(task string) bool) {
	tasks := s.allRuns()
	names := make([]string, 0, len(tasks))
	for task := range tasks {
		if only(task) {
			names = append(names, task)
		}
	}
	slices.Sort(names)
	for _, task := range names {
		for _, r := range tasks[task] {
			end, noted := "still runs", "not noted"
			if !r.ended.IsZero() {
				end = fmt.Sprintf("%s at %.3f", r.how, r.ended.Sub(s.rec.start).Seconds())
			}
			if !r.noted.IsZero() {
				noted = fmt.Sprintf("noted at %.3f", r.noted.Sub(s.rec.start).Seconds())
			}
			if r.lapsed {
				noted += ", lease lapsed in between"
			}
			s.rec.addAt(r.began, "run: %s run %d begins at %s (%s), %s, %s", r.task, r.run, r.at.name, r.life, end, noted)
		}
	}
}

// timerSlack is left out of an overlap of two runs, since timers of the stand-ins fire late.
const timerSlack = 20 * time.Millisecond

// twice returns the breaches of TWICE: two runs of a task at the same time, or a start after a run
// that ended done, if that end was noted then or later and the lease did not lapse in between.
func (s *system) twice() []string {
	var out []string
	now := time.Now()
	for task, runs := range s.allRuns() {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				end := a.ended
				if end.IsZero() {
					end = now
				}
				if overlap := end.Sub(b.began); overlap > timerSlack {
					out = append(out, fmt.Sprintf("TWICE: %s runs at %s (run %d) and at %s (run %d) for %v at the same time", task, a.at.name, a.run, b.at.name, b.run, overlap.Round(time.Millisecond)))
					continue
				}
				if a.how == "done" && !a.noted.IsZero() && !a.lapsed {
					out = append(out, fmt.Sprintf("TWICE: %s run %d at %s ended done at %.3f and its end was noted at %.3f, but run %d began at %s at %.3f", task, a.run, a.at.name,
						a.ended.Sub(s.rec.start).Seconds(), a.noted.Sub(s.rec.start).Seconds(), b.run, b.at.name, b.began.Sub(s.rec.start).Seconds()))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}
