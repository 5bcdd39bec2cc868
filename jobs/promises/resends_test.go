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
	// resendAfter is when a caller whose connection has broken sends its job again.
	resendAfter = 1300 * time.Millisecond
	// unheard is the delay of news that never come: the coordinator's side of the connection
	// stays open.
	neverDetected = -1
	// copyWork is how long the runs of jobs last that are sent twice.
	resentTaskTime = 4 * time.Second
	// copyCases is how many cases of a scenario there are, unless LICHENFALL_CASES says so.
	defaultResendCases = 6
	others             = 40 // short jobs beside the one that is sent twice
)

// copied is a best-effort job of one task whose caller loses its connection while the first
// copy runs, and sends the job again.
type resentJob struct {
	*world
	job    *clientJob
	first  *coordinatorNode // that the first copy goes to
	second *coordinatorNode // that the other does
	sentAt time.Time        // of the first copy
}

// newCopied returns a world with such a job, which is sent to the first coordinator when the
// others of its kind have been at work for a while.
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

// at does something so long after the first copy was sent.
func (s *resentJob) at(age time.Duration, do func()) { s.after(s.sentAt.Add(age).Sub(s.now), do) }

// send has the first copy's caller lose its connection at the age, of which the coordinator
// hears so much later, and send the job again.
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

// leave has the first coordinator hear that the caller is gone; one that is frozen, so much
// after its wake as it takes to read the request and see that the connection has ended.
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
		s.counts["copies refused"]++
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
			s.counts["copies answered"]++
		}
		then(r)
	}}
	k.call(c)
	return c
}

// play plays the case to the end of the job.
func (s *resentJob) runCase() *world {
	s.run(warmUp + 2*resentTaskTime + 3*time.Second + 3*resendAfter)
	return s.world
}

// playCopies plays the cases of a scenario that have the seeds, or the first few. LICHENFALL_CASES
// has it play so many.
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
		forwarded += w.counts["calls passed on"]
		refused += w.counts["copies refused"]
		answered += w.counts["copies answered"]
		if w.violation == "" {
			continue
		}
		if failed++; failed <= 3 {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
	}
	t.Logf("%d of %d cases broke the promise; %d calls passed on, %d refused, %d copies answered", failed, len(seeds), forwarded, refused, answered)
}

// cutPeers cuts two processes off from each other for a while.
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

// workerOf returns the worker at which the job's task runs; nil when it is at none.
func (s *resentJob) workerOf() *workerNode {
	for _, n := range s.workers {
		if n.backend.runCount(durable.TaskID{Job: s.job.submission.ID}) > 0 {
			return n
		}
	}
	return nil
}

// soon is when a coordinator hears of the end of a caller's connection.
func promptDetection(s *resentJob) time.Duration { return s.between(0, 20*time.Millisecond) }

// A caller whose coordinator does not hear that it has left meets its first copy by what the
// coordinators tell each other, as long as all are in touch and in time.
func TestCopyMeetsFirstAmongCoordinatorsInTouch(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) { s.send(s.between(0, time.Second), neverDetected) })
}

// Whatever happens between coordinators, a copy runs alone if the first coordinator hears at
// once that the caller has left.
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

// unknownHolder is a way in which the second coordinator does not know that the first has the
// job, of which the caller's connection breaks at an age.
type unknownHolder struct {
	name       string
	seeds      []uint64 // that failed
	stillFails bool     // they fail yet
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

// A copy at a coordinator that does not know that the first has the job still must not run
// beside the first copy, of which nobody has told its coordinator that its caller is gone.
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

// The same where the link between the two coordinators is cut, of which nothing can be told.
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

// deaths are the ways in which a worker is in trouble after the coordinator has died.
var deaths = []struct {
	name    string
	seeds   []uint64 // that failed
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

// A copy must not run beside the first one when the coordinator of the first has died, and then
// its worker is late, frozen or killed: in the cases that failed once.
func TestCopyAfterDeathsOfCoordinatorAndWorker(t *testing.T) {
	t.Parallel()
	for _, k := range deaths {
		t.Run(k.name, func(t *testing.T) {
			runResends(t, func(s *resentJob) { s.killCoordinatorThen(200*time.Millisecond, time.Second, k.trouble) }, k.seeds...)
		})
	}
}

// The same where the others have been told of the job before.
func TestCopyAfterDeathsOfCoordinatorThatHasToldAndWorker(t *testing.T) {
	t.Parallel()
	for _, k := range deaths {
		t.Run(k.name, func(t *testing.T) {
			runResends(t, func(s *resentJob) { s.killCoordinatorThen(s.announcedBy(), 2*time.Second, k.trouble) })
		})
	}
}

// The same where they may not have been told: the worker keeps the run for longer than the
// caller waits to send the job again.
func TestCopyAfterDeathsOfCoordinatorThatHasNotToldAndWorker(t *testing.T) {
	t.Parallel()
	for _, k := range deaths {
		t.Run(k.name, func(t *testing.T) {
			runResends(t, func(s *resentJob) { s.killCoordinatorThen(200*time.Millisecond, s.announcedBy(), k.trouble) })
		})
	}
}

// toldAt is the age at which all coordinators in touch have been told of the job.
func (s *resentJob) announcedBy() time.Duration {
	return s.first.peers.dedup.Settings().AnnounceAfter() + announceInterval + 3*tickInterval
}

// twoDeaths has the coordinator die at an age between the two, and then the worker be in trouble.
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

// A copy must not run beside the first one when the coordinator of the first alone has died.
func TestCopyAfterDeathOfCoordinator(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) {
		brokenAt := s.between(200*time.Millisecond, time.Second)
		s.send(brokenAt, neverDetected)
		s.at(brokenAt, func() { s.killCoordinator(0, s.between(50*time.Millisecond, 4*time.Second)) })
	})
}

// A copy must not run beside the first one, which a coordinator takes when it is no longer
// frozen, before it hears that the caller is gone.
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

// A copy must not run beside the first one, which a coordinator orders again when it is no
// longer frozen, since its worker has given the run up, before it hears that the caller is gone.
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

// A coordinator whose control goroutine alone was late takes the request and hears that the
// caller is gone in one go.
func TestCopyBesideRequestOfLateCoordinator(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) {
		brokenAt := s.between(300*time.Millisecond, 2*time.Second)
		s.at(-10*time.Millisecond, func() { s.first.stallFor(brokenAt + resendAfter + s.between(0, 700*time.Millisecond)) })
		s.send(brokenAt, promptDetection(s))
	})
}

// A copy runs alone after a cut between the first one's worker and its coordinator, whose stop
// does not come: the worker stops the run when the coordinator's lease is over.
func TestCopyAfterCutOfWorker(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) { s.cutOffWorker(func(*workerNode) {}) })
}

// A copy must not run beside the first one whose worker is cut off from its coordinator and
// handles the end of the coordinator's lease late: in two of the cases that failed once.
func TestCopyAfterCutOfLateWorker(t *testing.T) {
	t.Parallel()
	runResends(t, cutOffLateWorker, 20261219, 20261239)
}

// The same in others: the coordinator says nothing any more of a job whose caller has left, though
// its worker keeps the run for longer than the caller waits to send the job again.
func TestCopyAfterCutOfLateWorkerWhichKeepsItsRun(t *testing.T) {
	t.Parallel()
	runResends(t, cutOffLateWorker, 20261206, 20261207, 20261208, 20261238)
}

func cutOffLateWorker(s *resentJob) {
	s.cutOffWorker(func(n *workerNode) {
		s.after(s.between(500*time.Millisecond, 850*time.Millisecond), func() { n.stallFor(s.between(400*time.Millisecond, time.Second)) })
	})
}

// cutOffWorker cuts the worker of the first copy off from its coordinator in the moment in which
// the caller leaves, of which that one hears.
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

// The first copy of a coordinator that hears late that the caller is gone is met by the other,
// or over.
func TestCopyAfterLateHeardLeave(t *testing.T) {
	t.Parallel()
	runResends(t, func(s *resentJob) { s.send(s.between(0, time.Second), s.between(0, 3*time.Second)) })
}

// No caller sends anything twice here. A worker that is cut off, and late when its coordinator's
// lease is over, must not renew the backend server's lease beyond the time after which the
// coordinator writes the run off, when the stops have no answer.
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
