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

// patience is a bound that a slow machine does not reach.
const patience = 60 * time.Second

func TestLocal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "local")
}

type jobSystem struct{ *local.Cluster }

func startJobs(work time.Duration) jobSystem {
	return startSystem(local.Options{Coordinators: 3, Workers: 4, TaskTime: work})
}

func startSystem(o local.Options) jobSystem {
	o.Log = logging.Discard()
	c, err := local.Start(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return jobSystem{c}
}

// call makes a call and returns status and body.
func (s jobSystem) call(method string, entry int, path string, body any) (int, string) {
	b, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, s.URLs[entry]+path, bytes.NewReader(b))
	Expect(err).NotTo(HaveOccurred())
	resp, err := (&http.Client{Timeout: patience}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func jobOf(n int, bestEffort bool, tasks uint32) coordinator.JobRequest {
	return coordinator.JobRequest{
		ID: fmt.Sprintf("%016x", n), Queue: local.Queue, Spec: "x", BestEffort: bestEffort,
		Steps: []coordinator.StepRequest{{Count: tasks, MilliCPU: 500, EstimateMS: 5000}},
	}
}

// submit sends the job until it is taken.
func (s jobSystem) submit(entry int, j coordinator.JobRequest) {
	Eventually(func() int {
		status, _ := s.call(http.MethodPost, entry, "/v1/jobs", j)
		return status
	}).WithTimeout(patience).Should(Equal(http.StatusOK))
}

func (s jobSystem) becomes(entry int, id, state string) {
	Eventually(func() string {
		_, body := s.call(http.MethodGet, entry, "/v1/jobs/"+id, nil)
		return body
	}).WithTimeout(patience).Should(MatchJSON(fmt.Sprintf(`{"id":%q,"state":%q}`, id, state)))
}

var _ = Describe("coordinators and workers", func() {
	It("keep jobs and bring them to their end, asked anywhere", func() {
		s := startJobs(20 * time.Millisecond)
		for n := range 30 {
			s.submit(n%3, jobOf(n, false, 5))
		}
		for n := range 30 {
			s.becomes((n+1)%3, fmt.Sprintf("%016x", n), "completed")
		}
		starts := 0
		for _, b := range s.Backends {
			for _, n := range b.Starts() {
				starts += n
			}
		}
		Expect(starts).To(Equal(150), "each task once")
	})

	It("answer best-effort jobs with their end, also while the store is out", func() {
		s := startJobs(20 * time.Millisecond)
		s.submit(0, jobOf(1, true, 2))
		s.Store.Refuse(true)
		status, body := s.call(http.MethodPost, 1, "/v1/jobs", jobOf(2, true, 4))
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(body).To(ContainSubstring("completed"))
		status, _ = s.call(http.MethodPost, 1, "/v1/jobs", jobOf(3, false, 4))
		Expect(status).To(Equal(http.StatusServiceUnavailable))
	})

	It("bring a kept job to its end when its owner is gone, in order or not", func() {
		s := startJobs(400 * time.Millisecond)
		for n := range 20 {
			s.submit(n%3, jobOf(n, false, 3))
		}
		s.StopCoordinator(0, true)
		s.StopCoordinator(1, false)
		for n := range 20 {
			s.becomes(2, fmt.Sprintf("%016x", n), "completed")
		}
	})

	It("keep what was acknowledged when all of them are gone at once", func() {
		s := startJobs(300 * time.Millisecond)
		for n := range 12 {
			s.submit(n%3, jobOf(n, false, 3))
		}
		for i := range 3 {
			s.StopCoordinator(i, false)
		}
		Expect(s.AddCoordinator()).To(Succeed())
		for n := range 12 {
			s.becomes(3, fmt.Sprintf("%016x", n), "completed")
		}
	})

	It("take no partition over before they know whom to ask what runs", func() {
		s := startJobs(3 * time.Second)
		for n := range 8 { // of all partitions, most likely
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
		}).WithTimeout(2 * time.Second).Should(Equal(http.StatusServiceUnavailable)) // the former owners' time is over by then
		s.Store.HideMembers(false)
		for n := range 8 {
			s.becomes(3, fmt.Sprintf("%016x", n), "completed")
		}
	})

	It("go on with what runs when a worker is replaced", func() {
		s := startJobs(300 * time.Millisecond)
		for n := range 12 {
			s.submit(n%3, jobOf(n, false, 3))
		}
		Expect(s.RestartWorker(0)).To(Succeed())
		for n := range 12 {
			s.becomes(0, fmt.Sprintf("%016x", n), "completed")
		}
	})

	It("refuse bad jobs by kind and field", func() {
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

var _ = Describe("coordinators that each use a few of the workers", func() {
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
				s.becomes(n%3, fmt.Sprintf("%016x", n), "completed")
			}
		}
		for i, b := range s.Backends {
			Expect(b.Starts()).NotTo(BeEmpty(), "backend server %d", i)
		}
	})

	It("find what runs at any worker when they take a partition over", func() {
		s := startSystem(few)
		for n := range 24 {
			s.submit(n%3, jobOf(n, false, 3))
		}
		for i := range 3 {
			s.StopCoordinator(i, false)
		}
		Expect(s.AddCoordinator()).To(Succeed())
		for n := range 24 {
			s.becomes(3, fmt.Sprintf("%016x", n), "completed")
		}
	})
})

var _ = Describe("a best-effort job that is sent again elsewhere", func() {
	It("joins the copy that still runs at another coordinator", func() {
		s := startJobs(4 * time.Second)
		s.submit(0, jobOf(1, true, 1)) // all are up from here on
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _ := s.call(http.MethodPost, 0, "/v1/jobs", jobOf(2, true, 2))
			first <- status
		}()
		time.Sleep(2 * time.Second) // its caller gives up and comes again
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
		Expect(starts).To(Equal(2), "two tasks, each once")
	})
})

var _ = Describe("the record of a worker", func() {
	It("follows the capacity of its backend server, which a successor begins with", func() {
		s := startJobs(20 * time.Millisecond)
		var members atomic.Pointer[[]store.Member]
		members.Store(&[]store.Member{})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go s.Store.WatchMembers(ctx, func(all []store.Member) { members.Store(&all) })
		registered := func() durable.Resources {
			for _, m := range *members.Load() {
				if m.Backend != nil && m.Backend.Instance == s.Backends[0].Instance() {
					return m.Backend.Capacity
				}
			}
			return durable.Resources{}
		}
		full := s.Backends[0].Capacity
		Eventually(registered, patience).Should(Equal(full))
		half := durable.Resources{CPU: full.CPU / 2, Memory: full.Memory}
		s.Backends[0].Resize(half)
		s.Workers[0].Reported(s.Backends[0].Report())
		Eventually(registered, patience).Should(Equal(half))
	})
})
