package promises

import (
	"testing"
	"time"
)

// What the cases with bursts have beside the others: more jobs at one moment than there is room
// for, by seconds of all servers' work, while processes die, pause and are cut off.
const (
	bursts        = 4
	burstJobs     = 60
	burstInterval = 3 * time.Second // between two bursts, so that room is short most of the time
	burstKills    = 6               // of coordinators that may hold grants, and of workers that are asked
	burstPauses   = 4
)

// TestSharedRoom plays cases in which room is short and coordinators ask for it: whatever
// becomes of asks and grants, no task starts twice, none beyond a server's capacity, and all
// that was accepted ends.
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
		for _, name := range []string{"asks for room", "grants", "grants lapsed", "completed"} {
			if counts[name] == 0 {
				t.Errorf("unguarded servers %t: no %s", unguarded, name)
			}
		}
		t.Logf("unguarded servers %t: %d cases, %d asks, %d grants, %d of them lapsed, %d jobs refused", unguarded, cases,
			counts["asks for room"], counts["grants"], counts["grants lapsed"], counts["refused"])
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
