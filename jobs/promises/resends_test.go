package promises

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

const (
	// resendAfter is when a caller whose connection was lost sends its job again.
	resendAfter = 1300 * time.Millisecond
	// neverDetected says that the coordinator's end of the connection stays open.
	neverDetected = -1
	// resentTaskTime is how long the runs of jobs take that are sent twice.
	resentTaskTime = 4 * time.Second
	// defaultResendCases is the number of cases of a scenario, unless LICHENFALL_CASES is set.
	defaultResendCases = 6
	others             = 40 // short jobs in addition to the one that is sent twice
)

// resentJob is a world with a best-effort job of one task whose caller loses its connection while
// the first call's run executes, and sends the job again.
type resentJob struct {
	*world
	job    *clientJob
	first  *coordinatorNode // receives the first call
	second *coordinatorNode // receives the resent ones
	sentAt time.Time        // of the first call
}

// newResentJob returns a world with such a job, which is sent to the first coordinator once the
// other jobs have begun to run.
func newResentJob(seed uint64) *resentJob {
	w := newWorldWith(seed, func(w *world) { w.announceJobs, w.noResends, w.shuffleInbox = true, true, true })
	s := &resentJob{world: w, first: w.coordinators[0], second: w.coordinators[1]}
	for n := range others {
		w.after(warmUp/2+w.between(0, 3*warmUp), newClientJob(w, n, true).send)
	}
	s.job = newClientJob(w, others, true)
	s.job.failsAlways = false
	s.job.submission.Steps = []durable.Step{{Count: 1, Need: durable.Resources{CPU: 500}}}
	s.job.setEstimates(resentTaskTime)
	s.job.taskTime = resentTaskTime
	s.sentAt = w.now.Add(warmUp)
	return s
}

// at schedules do to run at the given age of the first call.
func (s *resentJob) at(age time.Duration, do func()) { s.after(s.sentAt.Add(age).Sub(s.now), do) }

// send sends the first call. Its caller loses the connection at the age brokenAt, which the
// coordinator detects detectedAfter later, and sends the job again.
func (s *resentJob) send(brokenAt, detectedAfter time.Duration) {
	s.at(0, func() {
		call := s.call(s.first)
		s.after(brokenAt, func() {
			s.trace("caller", string(s.job.submission.ID), "loses its connection to %s", s.first.name)
			if detectedAfter != neverDetected {
				s.after(detectedAfter, func() { s.detectDisconnect(call) })
			}
			s.after(resendAfter, s.resend)
		})
	})
}

// detectDisconnect has the first coordinator detect that the caller has closed the connection. One
// that is frozen detects it a little after it resumes: it first reads the request, and then the end
// of the connection.
func (s *resentJob) detectDisconnect(call *nodeCall) {
	if s.first.alive && s.first.paused {
		s.after(time.Millisecond, func() { s.detectDisconnect(call) })
		return
	}
	s.first.abandonCall(call)
}

// resend sends the job to the second coordinator, and again as long as it is refused.
func (s *resentJob) resend() {
	s.submit(s.second, func(r scheduler.Reply) {
		if r.Failure == failure.None || s.now.Sub(s.sentAt) > resentTaskTime+2*resendAfter {
			return
		}
		s.counts["resent calls refused"]++
		s.after(resendAfter, s.resend)
	})
}

func (s *resentJob) call(k *coordinatorNode) *nodeCall { return s.submit(k, func(scheduler.Reply) {}) }

func (s *resentJob) submit(k *coordinatorNode, then func(scheduler.Reply)) *nodeCall {
	sub := s.job.submission
	s.trace("caller", string(sub.ID), "calls %s", k.name)
	c := &nodeCall{kind: wire.CallSubmit, id: sub.ID, submission: &sub, reply: func(r scheduler.Reply) {
		s.trace("caller", string(sub.ID), "%s answers %v %v", k.name, r.State, r.Failure)
		if r.Failure == failure.None {
			s.counts["calls answered"]++
		}
		then(r)
	}}
	k.call(c)
	return c
}

// runCase runs the case to the end of the job.
func (s *resentJob) runCase() *world {
	s.run(warmUp + 2*resentTaskTime + 3*time.Second + 3*resendAfter)
	return s.world
}

// runResends runs the cases of a scenario: those of the seeds, or the first few if there are none.
// If LICHENFALL_CASES is set, it runs that number of cases in their place.
func runResends(t *testing.T, scenario func(s *resentJob), seeds ...uint64) {
	t.Helper()
	first := envNumber("LICHENFALL_SEED", defaultSeed)
	cases := envNumber("LICHENFALL_CASES", 0)
	if cases == 0 && len(seeds) == 0 {
		cases = defaultResendCases
	}
	if cases > 0 {
		seeds = nil
	}
	for i := range cases {
		seeds = append(seeds, first+i)
	}
	failed, forwarded, refused, answered := 0, 0, 0, 0
	for _, seed := range seeds {
		s := newResentJob(seed)
		scenario(s)
		w := s.runCase()
		forwarded += w.counts["calls forwarded"]
		refused += w.counts["resent calls refused"]
		answered += w.counts["calls answered"]
		if w.violation == "" {
			continue
		}
		if failed++; failed <= 3 {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
	}
	t.Logf("%d of %d cases violated the promise; %d calls forwarded, %d resent calls refused, %d calls answered", failed, len(seeds), forwarded, refused, answered)
}

// cutPeers cuts the link between two processes, in both directions, for a while.
func (w *world) cutPeers(a, b string, length time.Duration) {
	links := []link{{a, b}, {b, a}}
	for _, l := range links {
		w.cut[l] = true
	}
	w.after(length, func() {
		for _, l := range links {
			delete(w.cut, l)
		}
	})
}

// workerOf returns the worker at which the job's task runs; nil if it runs at none.
func (s *resentJob) workerOf() *workerNode {
	for _, n := range s.workers {
		if n.backend.runCount(durable.TaskID{Job: s.job.submission.ID}) > 0 {
			return n
		}
	}
	return nil
}

// promptDetection returns a short time until a coordinator detects that a caller's connection has
// ended.
func promptDetection(s *resentJob) time.Duration { return s.between(0, 20*time.Millisecond) }

// TestCopyMeetsFirstAmongCoordinatorsInTouch: a resent call whose first coordinator does not detect
// that the caller has left finds the job by the coordinators' announcements, as long as none of
// them is cut off or stalled.
func TestCopyMeetsFirstAmongCoordinatorsInTouch(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) { s.send(s.between(0, time.Second), neverDetected) })
}

// TestCopyAfterHeardLeave: whatever happens between the coordinators, the job of a resent call runs
// alone if the first coordinator detects at once that the caller has left.
func TestCopyAfterHeardLeave(t *testing.T) {
	t.Parallel()
	for _, k := range unknownHolders {
		t.Run(k.name, func(t *testing.T) {
			runResends(t, func(s *resentJob) {
				brokenAt := s.between(100*time.Millisecond, time.Second)
				s.send(brokenAt, promptDetection(s))
				k.trouble(s, brokenAt)
			}, defaultSeed, defaultSeed+1)
		})
	}
}

// unknownHolder is a way in which the second coordinator comes not to know that the first has the
// job. The caller's connection is lost at the age brokenAt.
type unknownHolder struct {
	name       string
	seeds      []uint64 // that failed once
	stillFails bool     // the seeds still fail
	trouble    func(s *resentJob, brokenAt time.Duration)
}

var unknownHolders = []unknownHolder{
	{"link cut", []uint64{20261202, 20261204, 20261205}, true, func(s *resentJob, brokenAt time.Duration) {
		s.at(brokenAt+s.between(0, resendAfter-ackTimeout), func() { s.cutPeers(s.first.name, s.second.name, 3*time.Second) })
	}},
	{"link reset", []uint64{20261203, 20261204, 20261205}, false, func(s *resentJob, brokenAt time.Duration) {
		s.at(brokenAt+resendAfter-s.between(0, 900*time.Millisecond), func() {
			if l := s.second.peers.links[s.first.name]; l != nil {
				l.reset()
			}
		})
	}},
	{"second just started", []uint64{20261207, 20261208, 20261209}, false, func(s *resentJob, brokenAt time.Duration) {
		s.at(brokenAt, func() { s.killCoordinator(1, resendAfter-s.between(0, 100*time.Millisecond)) })
	}},
	{"first late", []uint64{20261202, 20261206, 20261208}, false, func(s *resentJob, brokenAt time.Duration) {
		s.at(s.between(500*time.Millisecond, 800*time.Millisecond), func() { s.first.stallFor(s.between(500*time.Millisecond, time.Second)) })
	}},
	{"first frozen", []uint64{20261202, 20261206, 20261208}, false, func(s *resentJob, brokenAt time.Duration) {
		s.at(s.between(500*time.Millisecond, 800*time.Millisecond), func() { s.first.freezeFor(s.between(500*time.Millisecond, time.Second)) })
	}},
}

// TestCopyWhereHolderIsUnknown: a coordinator that does not know that the first one has the job
// must still not start it beside the first run, although the first coordinator does not detect that
// its caller has left.
func TestCopyWhereHolderIsUnknown(t *testing.T) {
	t.Parallel()
	for _, k := range unknownHolders {
		t.Run(k.name, func(t *testing.T) {
			if !k.stillFails {
				runUnknownHolder(t, k)
			}
		})
	}
}

// TestCopyWhereCoordinatorsAreCut runs those ways of TestCopyWhereHolderIsUnknown that still fail:
// the link between the two coordinators is cut, so that no announcement passes.
func TestCopyWhereCoordinatorsAreCut(t *testing.T) {
	t.Parallel()
	for _, k := range unknownHolders {
		if k.stillFails {
			runUnknownHolder(t, k)
		}
	}
}

func runUnknownHolder(t *testing.T, k unknownHolder) {
	t.Helper()
	runResends(t, func(s *resentJob) {
		brokenAt := s.between(0, 200*time.Millisecond)
		s.send(brokenAt, neverDetected)
		k.trouble(s, brokenAt)
	}, k.seeds...)
}

// deaths are the faults of a worker after the coordinator has died.
var deaths = []struct {
	name    string
	seeds   []uint64 // that failed once
	trouble func(s *resentJob, n *workerNode)
}{
	{"worker late", []uint64{20261203, 20261210}, func(s *resentJob, n *workerNode) {
		s.after(s.between(500*time.Millisecond, 850*time.Millisecond), func() { n.stallFor(s.between(400*time.Millisecond, time.Second)) })
	}},
	{"worker frozen", []uint64{20261203, 20261210}, func(s *resentJob, n *workerNode) {
		s.after(s.between(500*time.Millisecond, 850*time.Millisecond), func() { n.freezeFor(s.between(400*time.Millisecond, time.Second)) })
	}},
	{"worker killed", []uint64{20261202, 20261203, 20261204}, func(s *resentJob, n *workerNode) {
		s.after(s.between(300*time.Millisecond, 850*time.Millisecond), func() {
			s.trace(n.fullName(), ".0", "is killed")
			s.killWorker(s.indexOf(n), s.between(100*time.Millisecond, 900*time.Millisecond))
		})
	}},
}

func (w *world) indexOf(n *workerNode) int {
	for i, o := range w.workers {
		if o == n {
			return i
		}
	}
	return -1
}

// TestCopyAfterDeathsOfCoordinatorAndWorker: the job of a resent call must not run beside the first
// run when the first coordinator has died, and then the worker is stalled, frozen or killed. It
// runs the cases that failed once.
func TestCopyAfterDeathsOfCoordinatorAndWorker(t *testing.T) {
	t.Parallel()
	for _, k := range deaths {
		t.Run(k.name, func(t *testing.T) {
			runResends(t, func(s *resentJob) { s.killCoordinatorThen(200*time.Millisecond, time.Second, k.trouble) }, k.seeds...)
		})
	}
}

// TestCopyAfterDeathsOfCoordinatorThatHasToldAndWorker has the same faults after the job has been
// announced to the other coordinators.
func TestCopyAfterDeathsOfCoordinatorThatHasToldAndWorker(t *testing.T) {
	t.Parallel()
	for _, k := range deaths {
		t.Run(k.name, func(t *testing.T) {
			runResends(t, func(s *resentJob) { s.killCoordinatorThen(s.announcedBy(), 2*time.Second, k.trouble) })
		})
	}
}

// TestCopyAfterDeathsOfCoordinatorThatHasNotToldAndWorker has the same faults at a time when the
// job may not have been announced to the other coordinators: the worker keeps the run for longer
// than the caller waits before it sends the job again.
func TestCopyAfterDeathsOfCoordinatorThatHasNotToldAndWorker(t *testing.T) {
	t.Parallel()
	for _, k := range deaths {
		t.Run(k.name, func(t *testing.T) {
			runResends(t, func(s *resentJob) { s.killCoordinatorThen(200*time.Millisecond, s.announcedBy(), k.trouble) })
		})
	}
}

// announcedBy returns the age by which the job has been announced to all coordinators that can be
// reached.
func (s *resentJob) announcedBy() time.Duration {
	return s.first.peers.dedup.Settings().AnnounceAfter() + announceInterval + 3*tickInterval
}

// killCoordinatorThen kills the first coordinator at an age between from and to, and then has
// trouble happen to the worker.
func (s *resentJob) killCoordinatorThen(from, to time.Duration, trouble func(s *resentJob, n *workerNode)) {
	brokenAt := s.between(from, to)
	s.send(brokenAt, neverDetected)
	s.at(brokenAt, func() {
		s.trace(s.first.fullName(), ".0", "is killed")
		s.killCoordinator(0, 10*time.Second)
		if n := s.workerOf(); n != nil {
			trouble(s, n)
		}
	})
}

// TestCopyAfterDeathOfCoordinator: the job of a resent call must not run beside the first run when
// only the first coordinator has died.
func TestCopyAfterDeathOfCoordinator(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) {
		brokenAt := s.between(200*time.Millisecond, time.Second)
		s.send(brokenAt, neverDetected)
		s.at(brokenAt, func() { s.killCoordinator(0, s.between(50*time.Millisecond, 4*time.Second)) })
	})
}

// TestCopyBesideRequestOfFrozenCoordinator: the job of a resent call must not run beside that of
// the first call, which a frozen coordinator handles after it resumes and before it detects that
// the caller has left.
func TestCopyBesideRequestOfFrozenCoordinator(t *testing.T) {
	t.Parallel()
	for _, noticed := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(noticed.String(), func(t *testing.T) {
			runResends(t, func(s *resentJob) {
				const before = 10 * time.Millisecond
				brokenAt := s.between(300*time.Millisecond, 2*time.Second)
				awake := brokenAt + resendAfter + s.between(0, 700*time.Millisecond)
				s.at(-before, func() { s.first.freezeFor(before + awake) })
				s.send(brokenAt, neverDetected)
				s.at(awake+noticed, func() { s.first.abandon(s.job.submission.ID) })
			}, 20261213, 20261214)
		})
	}
}

// TestCopyBesideJobOfFrozenCoordinator: the job of a resent call must not run beside the first one,
// whose run the worker has given up, and which a frozen coordinator orders again after it resumes
// and before it detects that the caller has left.
func TestCopyBesideJobOfFrozenCoordinator(t *testing.T) {
	t.Parallel()
	for _, noticed := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(noticed.String(), func(t *testing.T) {
			runResends(t, func(s *resentJob) {
				frozen := s.between(100*time.Millisecond, time.Second)
				brokenAt := frozen + s.between(0, 200*time.Millisecond)
				awake := brokenAt + resendAfter + s.between(0, 700*time.Millisecond)
				s.at(frozen, func() { s.first.freezeFor(awake - frozen) })
				s.send(brokenAt, neverDetected)
				s.at(awake+noticed, func() { s.first.abandon(s.job.submission.ID) })
			}, 20261204, 20261208, 20261214)
		})
	}
}

// TestCopyBesideRequestOfLateCoordinator: a coordinator of which only the control goroutine was
// stalled handles the request and the end of the caller's connection in one batch.
func TestCopyBesideRequestOfLateCoordinator(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) {
		brokenAt := s.between(300*time.Millisecond, 2*time.Second)
		s.at(-10*time.Millisecond, func() { s.first.stallFor(brokenAt + resendAfter + s.between(0, 700*time.Millisecond)) })
		s.send(brokenAt, promptDetection(s))
	})
}

// TestCopyAfterCutOfWorker: the job of a resent call runs alone after a cut between the worker of
// the first run and its coordinator. The coordinator's stop does not arrive; the worker stops the
// run when the coordinator's lease expires.
func TestCopyAfterCutOfWorker(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) { s.cutOffWorker(func(*workerNode) {}) })
}

// TestCopyAfterCutOfLateWorker: the job of a resent call must not run beside the first run, whose
// worker is cut off from its coordinator and handles the expiry of the coordinator's lease late. It
// runs two of the cases that failed once.
func TestCopyAfterCutOfLateWorker(t *testing.T) {
	t.Parallel()
	runResends(t, cutOffLateWorker, 20261219, 20261239)
}

// TestCopyAfterCutOfLateWorkerWhichKeepsItsRun runs the other cases that failed: the coordinator no
// longer announces a job whose caller has left, although the worker keeps its run for longer than
// the caller waits before it sends the job again.
func TestCopyAfterCutOfLateWorkerWhichKeepsItsRun(t *testing.T) {
	t.Parallel()
	runResends(t, cutOffLateWorker, 20261206, 20261207, 20261208, 20261238)
}

func cutOffLateWorker(s *resentJob) {
	s.cutOffWorker(func(n *workerNode) {
		s.after(s.between(500*time.Millisecond, 850*time.Millisecond), func() { n.stallFor(s.between(400*time.Millisecond, time.Second)) })
	})
}

// cutOffWorker cuts the link between the worker of the first run and its coordinator at the moment
// at which the caller leaves, which the coordinator detects.
func (s *resentJob) cutOffWorker(trouble func(n *workerNode)) {
	brokenAt := s.between(200*time.Millisecond, time.Second)
	s.send(brokenAt, promptDetection(s))
	s.at(brokenAt, func() {
		if n := s.workerOf(); n != nil {
			s.cutPeers(s.first.name, n.name, 4*time.Second)
			trouble(n)
		}
	})
}

// TestCopyAfterLateHeardLeave: if the first coordinator detects late that the caller has left, the
// second one finds the job by the announcements, or the first run has ended.
func TestCopyAfterLateHeardLeave(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) { s.send(s.between(0, time.Second), s.between(0, 3*time.Second)) })
}

// TestNoRunIsWrittenOffThatLateWorkerKeeps sends no job twice. A worker that is cut off, and
// stalled when its coordinator's lease expires, must not renew the backend server's lease beyond
// the time after which the coordinator writes the run off, when its stops are not answered.
func TestNoRunIsWrittenOffThatLateWorkerKeeps(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) {
		s.at(0, func() { s.call(s.first) })
		cut := s.between(200*time.Millisecond, 600*time.Millisecond)
		s.at(cut, func() {
			n := s.workerOf()
			if n == nil {
				return
			}
			for _, c := range s.coordinators {
				s.cutPeers(c.name, n.name, 5*time.Second)
			}
			s.after(s.between(600*time.Millisecond, 800*time.Millisecond), func() {
				n.backend.lateStops = true
				n.stallFor(s.between(700*time.Millisecond, time.Second))
			})
			s.after(3*time.Second, func() { n.backend.lateStops = false })
		})
	}, 20261219, 20261230, 20261256)
}
