package promises

import (
	"testing"
	"time"
)

// Further constants of the cases with bursts: more jobs at one moment than the servers have
// capacity for, by several seconds of the work of all of them, while processes die, pause and are
// cut off.
const (
	bursts        = 4
	burstJobs     = 60
	burstInterval = 3 * time.Second // from one burst to the next, so that capacity is short most of the time
	burstKills    = 6               // of coordinators, which may hold grants, and of workers, which have their requests
	burstPauses   = 4
)

// TestSharedRoom runs cases in which capacity is short and coordinators request it. Whatever
// happens to requests and grants, no task has two runs at once, none starts beyond a server's
// capacity, and all accepted jobs end.
func TestSharedRoom(t *testing.T) {
	t.Parallel()
	cases := envNumber("LICHENFALL_CASES", fewerCases)
	seed := envNumber("LICHENFALL_SEED", defaultSeed)
	for _, unguarded := range []bool{false, true} {
		counts := make(map[string]int)
		for i := range cases {
			w := runSharedRoom(seed+i, unguarded)
			if w.violation != "" {
				t.Fatalf("seed %d, unguarded servers %t: %s", seed+i, unguarded, w.violation)
			}
			for name, n := range w.counts {
				counts[name] += n
			}
		}
		for _, name := range []string{"capacity requests", "grants", "grants lapsed", "completed"} {
			if counts[name] == 0 {
				t.Errorf("unguarded servers %t: no %s", unguarded, name)
			}
		}
		t.Logf("unguarded servers %t: %d cases, %d capacity requests, %d grants, %d of them lapsed, %d jobs refused", unguarded, cases,
			counts["capacity requests"], counts["grants"], counts["grants lapsed"], counts["refused"])
	}
}

func runSharedRoom(seed uint64, unguarded bool) *world {
	w := newWorld(seed)
	w.unguarded = unguarded
	for i := range bursts {
		at := warmUp + time.Duration(i)*burstInterval + w.between(0, time.Second)
		for n := range burstJobs {
			j := newClientJob(w, jobsInCase+i*burstJobs+n, w.chance(0.6))
			j.submission.Queue.Priority = int32(n % 3)
			w.after(at+w.between(0, 100*time.Millisecond), j.send)
		}
	}
	for range burstKills {
		w.after(warmUp+w.between(0, faultPhase), func() {
			w.killCoordinator(w.random.IntN(coordinatorCount), w.between(50*time.Millisecond, time.Second))
		})
		w.after(warmUp+w.between(0, faultPhase), func() {
			w.killWorker(w.random.IntN(workerCount), w.between(20*time.Millisecond, time.Second))
		})
	}
	for range burstPauses {
		w.after(warmUp+w.between(0, faultPhase), func() {
			w.pauseFor(&w.coordinators[w.random.IntN(coordinatorCount)].process)
		})
		w.after(warmUp+w.between(0, faultPhase), w.cutProcess)
	}
	w.runCase(allFaults)
	return w
}
