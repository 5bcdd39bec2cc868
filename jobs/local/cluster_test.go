package local_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/coordinator"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/local"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/logging"
)

// waitLimit bounds every wait; it is long enough for a slow machine.
const waitLimit = 60 * time.Second

func TestLocal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "local")
}

// jobSystem is a Cluster with the calls that the tests make.
type jobSystem struct{ *local.Cluster }

// startJobs starts three coordinators and four workers whose tasks take the time given.
func startJobs(taskTime time.Duration) jobSystem {
	return startSystem(local.Options{Coordinators: 3, Workers: 4, TaskTime: taskTime})
}

// startSystem starts a Cluster that ends with the test.
func startSystem(o local.Options) jobSystem {
	o.Log = logging.Discard()
	c, err := local.Start(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return jobSystem{c}
}

// call sends an HTTP request to a coordinator and returns status and body; the status is 0 if there
// is no response.
func (s jobSystem) call(method string, at int, path string, body any) (int, string) {
	b, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, s.URLs[at]+path, bytes.NewReader(b))
	Expect(err).NotTo(HaveOccurred())
	resp, err := (&http.Client{Timeout: waitLimit}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// jobOf returns the request for job n, of one step with that many tasks.
func jobOf(n int, bestEffort bool, tasks uint32) coordinator.JobRequest {
	return coordinator.JobRequest{
		ID: fmt.Sprintf("%016x", n), Queue: local.Queue, Spec: "x", BestEffort: bestEffort,
		Steps: []coordinator.StepRequest{{Count: tasks, MilliCPU: 500, EstimateMS: 5000}},
	}
}

// submit submits the job to a coordinator until it is accepted.
func (s jobSystem) submit(at int, j coordinator.JobRequest) {
	Eventually(func() int {
		status, _ := s.call(http.MethodPost, at, "/v1/jobs", j)
		return status
	}).WithTimeout(waitLimit).Should(Equal(http.StatusOK))
}

// awaitState waits until the job is in the state, as a coordinator answers.
func (s jobSystem) awaitState(at int, id, state string) {
	Eventually(func() string {
		_, body := s.call(http.MethodGet, at, "/v1/jobs/"+id, nil)
		return body
	}).WithTimeout(waitLimit).Should(MatchJSON(fmt.Sprintf(`{"id":%q,"state":%q}`, id, state)))
}

var _ = Describe("coordinators and workers", func() {
	It("store jobs and complete them, and any coordinator answers with their state", func() {
		s := startJobs(20 * time.Millisecond)
		for n := range 30 {
			s.submit(n%3, jobOf(n, false, 5))
		}
		for n := range 30 {
			s.awaitState((n+1)%3, fmt.Sprintf("%016x", n), "completed")
		}
		starts := 0
		for _, b := range s.Backends {
			for _, n := range b.Starts() {
				starts += n
			}
		}
		Expect(starts).To(Equal(150), "one start of each task")
	})

	It("answer best-effort jobs with their result, also while the store refuses all calls", func() {
		s := startJobs(20 * time.Millisecond)
		s.submit(0, jobOf(1, true, 2))
		s.Store.Refuse(true)
		status, body := s.call(http.MethodPost, 1, "/v1/jobs", jobOf(2, true, 4))
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(body).To(ContainSubstring("completed"))
		status, _ = s.call(http.MethodPost, 1, "/v1/jobs", jobOf(3, false, 4))
		Expect(status).To(Equal(http.StatusServiceUnavailable))
	})

	It("complete a durable job after its owner has stopped, planned or not", func() {
		s := startJobs(400 * time.Millisecond)
		for n := range 20 {
			s.submit(n%3, jobOf(n, false, 3))
		}
		s.StopCoordinator(0, true)
		s.StopCoordinator(1, false)
		for n := range 20 {
			s.awaitState(2, fmt.Sprintf("%016x", n), "completed")
		}
	})

	It("complete all acknowledged jobs after all coordinators have stopped at once", func() {
		s := startJobs(300 * time.Millisecond)
		for n := range 12 {
			s.submit(n%3, jobOf(n, false, 3))
		}
		for i := range 3 {
			s.StopCoordinator(i, false)
		}
		Expect(s.AddCoordinator()).To(Succeed())
		for n := range 12 {
			s.awaitState(3, fmt.Sprintf("%016x", n), "completed")
		}
	})

	It("take over no partition before they know the workers to ask for run reports", func() {
		s := startJobs(3 * time.Second)
		for n := range 8 { // most likely a job in each partition
			s.submit(0, jobOf(n, false, 2))
		}
		for i := range 3 {
			s.StopCoordinator(i, true)
		}
		s.Store.HideMembers(true)
		Expect(s.AddCoordinator()).To(Succeed())
		Consistently(func() int {
			status, _ := s.call(http.MethodGet, 3, "/v1/jobs/"+fmt.Sprintf("%016x", 0), nil)
			return status
		}).WithTimeout(2 * time.Second).Should(Equal(http.StatusServiceUnavailable)) // the former owners' memberships expire before that
		s.Store.HideMembers(false)
		for n := range 8 {
			s.awaitState(3, fmt.Sprintf("%016x", n), "completed")
		}
	})

	It("continue the runs of a worker that is replaced", func() {
		s := startJobs(300 * time.Millisecond)
		for n := range 12 {
			s.submit(n%3, jobOf(n, false, 3))
		}
		Expect(s.RestartWorker(0)).To(Succeed())
		for n := range 12 {
			s.awaitState(0, fmt.Sprintf("%016x", n), "completed")
		}
	})

	It("refuse invalid jobs with their status and field", func() {
		s := startJobs(time.Millisecond)
		s.submit(0, jobOf(1, false, 1))
		for _, c := range []struct {
			change func(*coordinator.JobRequest)
			status int
			field  string
		}{
			{func(j *coordinator.JobRequest) { j.ID = "no" }, 400, "id"},
			{func(j *coordinator.JobRequest) { j.Queue = "no" }, 404, "queue"},
			{func(j *coordinator.JobRequest) { j.Steps = nil }, 400, "steps"},
			{func(j *coordinator.JobRequest) { j.Steps[0].Count = 0 }, 400, "steps[0].count"},
			{func(j *coordinator.JobRequest) { j.Steps[0].After = []uint32{0} }, 400, "steps[0].depends_on"},
		} {
			j := jobOf(9, false, 1)
			c.change(&j)
			status, body := s.call(http.MethodPost, 0, "/v1/jobs", j)
			Expect(status).To(Equal(c.status), body)
			Expect(body).To(ContainSubstring(fmt.Sprintf(`"field":%q`, c.field)))
		}
	})
})

var _ = Describe("coordinators that each use a subset of the workers", func() {
	few := local.Options{Coordinators: 3, Workers: 6, TaskTime: 300 * time.Millisecond, Subset: config.Subset{Size: 2, Coverage: 1}}

	It("use all workers together", func() {
		few := few
		few.TaskTime = 20 * time.Millisecond
		s := startSystem(few)
		for n := range 60 {
			s.submit(n%3, jobOf(n, n%2 == 0, 8))
		}
		for n := range 60 {
			if n%2 == 1 {
				s.awaitState(n%3, fmt.Sprintf("%016x", n), "completed")
			}
		}
		for i, b := range s.Backends {
			Expect(b.Starts()).NotTo(BeEmpty(), "backend server %d", i)
		}
	})

	It("find the runs at all workers when they take over a partition", func() {
		s := startSystem(few)
		for n := range 24 {
			s.submit(n%3, jobOf(n, false, 3))
		}
		for i := range 3 {
			s.StopCoordinator(i, false)
		}
		Expect(s.AddCoordinator()).To(Succeed())
		for n := range 24 {
			s.awaitState(3, fmt.Sprintf("%016x", n), "completed")
		}
	})
})

var _ = Describe("a best-effort job that its caller resends to another coordinator", func() {
	It("joins the job that still runs at the first coordinator", func() {
		s := startJobs(4 * time.Second)
		s.submit(0, jobOf(1, true, 1)) // from here on all processes are up
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _ := s.call(http.MethodPost, 0, "/v1/jobs", jobOf(2, true, 2))
			first <- status
		}()
		time.Sleep(2 * time.Second) // then the caller gives up and resends the job
		status, body := s.call(http.MethodPost, 1, "/v1/jobs", jobOf(2, true, 2))
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(<-first).To(Equal(http.StatusOK))
		starts := 0
		for _, b := range s.Backends {
			for task, n := range b.Starts() {
				if task.Job == "0000000000000002" {
					starts += n
				}
			}
		}
		Expect(starts).To(Equal(2), "starts of two tasks, one each")
	})
})

var _ = Describe("the record of a worker", func() {
	It("follows the capacity of its backend server, so that its successor begins with it", func() {
		s := startJobs(20 * time.Millisecond)
		var members atomic.Pointer[[]store.Member]
		members.Store(&[]store.Member{})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go s.Store.Client().WatchMembers(ctx, func(all []store.Member) { members.Store(&all) })
		registered := func() durable.Resources {
			for _, m := range *members.Load() {
				if m.Backend != nil && m.Backend.Instance == s.Backends[0].Instance() {
					return m.Backend.Capacity
				}
			}
			return durable.Resources{}
		}
		full := s.Backends[0].Capacity
		Eventually(registered, waitLimit).Should(Equal(full))
		half := durable.Resources{CPU: full.CPU / 2, Memory: full.Memory}
		s.Backends[0].Resize(half)
		s.Workers[0].Reported(s.Backends[0].Report())
		Eventually(registered, waitLimit).Should(Equal(half))
	})
})
