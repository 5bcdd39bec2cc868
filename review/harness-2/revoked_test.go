//go:build review

package harness2

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	revokedWorkers = 3 // that the jobs need
	revokedOthers  = 2 // with executors of another kind
	revokedJobs    = 36
	revokedTask    = 5000                    // ms of one task
	revokedCut     = time.Second             // from the cut until jobs are handed in
	revokedKill    = 2350 * time.Millisecond // from the dealing until the worker's process is killed
	revokedFor     = 3600 * time.Millisecond // from the dealing until the cut and the refusals end
	revokedRounds  = 7                       // at most, until the rule is broken
)

// playRevoked has the store turn coordinator-0 away and deal its partitions to coordinator-1, which is cut
// from one worker. That worker's process is killed later.
func playRevoked(s *system, trouble bool) (broken []string, err error) {
	s.guarded = true
	for range revokedWorkers {
		if err := s.addWorker(smallCapacity, "a", "r1"); err != nil {
			return nil, err
		}
	}
	for range revokedOthers {
		if err := s.addWorker(smallCapacity, "b", "r1"); err != nil {
			return nil, err
		}
	}
	for range 2 {
		if err := s.addCoordinator(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for round := 1; round <= revokedRounds && len(broken) == 0; round++ {
		s.rec.add("round %d", round)
		if trouble {
			s.rec.add("coordinator-1 and worker-0 are cut from each other")
			s.doors[0].setCut("coordinator-1")
			time.Sleep(revokedCut)
		}
		for range revokedJobs {
			s.submit(newJob(jobBody{Spec: fmt.Sprintf("cpu=1000 ms=%d", revokedTask), Steps: []step{{Count: 1, CPU: 1000, Memory: 64, EstimateMS: revokedTask, Requires: "a"}}}), 5*time.Second)
		}
		time.Sleep(200 * time.Millisecond)
		if trouble {
			if err := s.revokeFromFirst(); err != nil {
				return nil, err
			}
		}
		time.Sleep(revokedTask*time.Millisecond + 2*time.Second)
		broken = s.runsAtOnce()
	}
	return broken, nil
}

// revokeFromFirst is one round of the trouble.
func (s *system) revokeFromFirst() error {
	s.rec.add("the store turns coordinator-0 away and deals its partitions to coordinator-1")
	s.gates[0].away.Store(true)
	s.store.revoke()
	time.Sleep(revokedKill)
	s.rec.add("worker-0 is killed")
	s.workers[0].signal(syscall.SIGKILL, true)
	time.Sleep(restartAfter)
	if err := s.workers[0].start(); err != nil {
		return err
	}
	time.Sleep(revokedFor - revokedKill - restartAfter)
	s.gates[0].away.Store(false)
	s.doors[0].setCut("")
	return nil
}

// runsAtOnce returns the tasks that had two runs at the same time.
func (s *system) runsAtOnce() (broken []string) {
	byTask := make(map[string][]run)
	for _, r := range s.runs() {
		byTask[r.task] = append(byTask[r.task], r)
	}
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b run) int { return a.began.Compare(b.began) })
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.ongoingAt(b.began) {
					broken = append(broken, fmt.Sprintf("task %s runs twice at once: run %d at %s, which ends at %.3f, and run %d at %s from %.3f on",
						task, a.number, a.executor, a.ended.Sub(s.rec.began).Seconds(), b.number, b.executor, b.began.Sub(s.rec.began).Seconds()))
				}
			}
		}
	}
	return broken
}

// revoke deals all partitions anew, each to another member.
func (s *metaStore) revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups.Reassign(time.Now(), 1)
}
