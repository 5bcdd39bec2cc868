package local_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/submissions/client"
	"github.com/lichenfall/lichenfall/submissions/fakebackend"
	"github.com/lichenfall/lichenfall/submissions/fakeboxlist"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/submissions/local"
	"github.com/lichenfall/lichenfall/submissions/membership"
)

// longWait bounds the waits of these tests, which run whole clusters on loopback. A slow machine
// doesn't reach it; nothing is asserted about speed.
const longWait = 30 * time.Second

func TestLocal(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "local")
}

type system struct {
	*local.Cluster
	ctx     context.Context
	clients []*client.Client
}

func start(entries, agents int, change func(*local.Options)) *system {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*longWait)
	DeferCleanup(cancel)
	o := local.Options{Entries: entries, Agents: agents, Log: logging.Discard(), Seed: 1}
	if change != nil {
		change(&o)
	}
	c, err := local.Start(ctx, o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	s := &system{Cluster: c, ctx: ctx}
	for _, u := range c.URLs() {
		cl := client.New(u)
		DeferCleanup(cl.Close)
		s.clients = append(s.clients, cl)
	}
	return s
}

func request(payloads ...string) *job.Request {
	r := &job.Request{ID: client.NewID(), Workspace: local.Workspace, Pool: local.Pool, TimeoutMS: longWait.Milliseconds()}
	for _, p := range payloads {
		r.Tasks = append(r.Tasks, job.TaskRequest{Payload: json.RawMessage(p)})
	}
	return r
}

func repeat(n int, payload string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = payload
	}
	return out
}

func (s *system) submit(entry int, r *job.Request) *job.Answer {
	GinkgoHelper()
	a, err := s.clients[entry].Submit(s.ctx, r)
	Expect(err).NotTo(HaveOccurred())
	return a
}

// submitAsync submits in the background. The channel gets the answer, unless the request fails, and
// is closed.
func (s *system) submitAsync(entry int, r *job.Request) <-chan *job.Answer {
	out := make(chan *job.Answer, 1)
	go func() {
		a, err := s.clients[entry].Submit(s.ctx, r)
		if err == nil {
			out <- a
		}
		close(out)
	}()
	return out
}

// starts returns the number of starts of each task of the submission.
func (s *system) starts(id string) map[uint64]int {
	out := make(map[uint64]int)
	for _, b := range s.Backends {
		for _, j := range b.Journal() {
			if j.Submission == id {
				out[j.Task]++
			}
		}
	}
	return out
}

// startedTasks returns a function that counts the tasks of the submission that were started.
func (s *system) startedTasks(id string) func() int { return func() int { return len(s.starts(id)) } }

// unfinishedJobs returns the number of unfinished jobs at all entries.
func (s *system) unfinishedJobs() int {
	n := 0
	for _, c := range s.clients {
		var state struct{ Jobs int }
		if c.Get(s.ctx, "/v1/state", &state) == nil {
			n += state.Jobs
		}
	}
	return n
}

// failureOf returns the error of a failed answer, else the answer itself.
func failureOf(a *job.Answer) any {
	if a == nil || a.Error == nil {
		return a
	}
	return *a.Error
}

var _ = Describe("a cluster", func() {
	It("answers a job of 150 tasks over 11 agents of 8 slots", func() {
		s := start(1, 11, nil)
		r := request()
		for i := range 150 {
			r.Tasks = append(r.Tasks, job.TaskRequest{Payload: json.RawMessage(fmt.Sprintf(`{"sleep_ms":20,"echo":%d}`, i))})
		}
		a := s.submit(0, r)
		Expect(a.State).To(Equal(job.Complete))
		for i, res := range a.Results {
			Expect(string(res)).To(Equal(fmt.Sprint(i)))
		}
		for _, b := range s.Backends {
			Expect(b.PeakRunning()).To(BeNumerically("<=", 8))
		}
	})

	It("answers each of 1,000 concurrent jobs with its own results (hazard 12)", func() {
		s := start(2, 3, func(o *local.Options) {
			o.Agent = func(c *config.Agent) { c.Backend.Queue = 10000 }
			// No job may be refused because a busy machine delays answers.
			o.Entry = func(c *config.Entry) {
				c.Jobs.MaxWait = config.Duration(time.Minute)
				c.Claims.Wait = config.Duration(5 * time.Second)
				c.Placement.PingAfter = config.Duration(time.Minute)
				c.Placement.PingWait = config.Duration(time.Minute)
			}
		})
		var wg sync.WaitGroup
		wrong := make(chan string, 1000)
		for n := range 1000 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				want := fmt.Sprintf(`{"job":%d}`, n)
				a, err := s.clients[n%2].Submit(s.ctx, request(`{"echo":`+want+`}`, `{"echo":`+want+`}`))
				if err != nil || len(a.Results) != 2 || string(a.Results[0]) != want || string(a.Results[1]) != want {
					wrong <- fmt.Sprintf("job %d: %+v %v", n, failureOf(a), err)
				}
			}()
		}
		wg.Wait()
		close(wrong)
		var all []string
		for w := range wrong {
			all = append(all, w)
		}
		Expect(all).To(BeEmpty())
	})

	It("joins a resent submission to the first one, and answers a later resend with the same results (hazards 1, 9, 13)", func() {
		s := start(2, 3, nil)
		r := request(repeat(5, `{"sleep_ms":300,"echo":"x"}`)...)
		first, second := s.submitAsync(0, r), s.submitAsync(1, r)
		a, b := <-first, <-second
		Expect(a.State).To(Equal(job.Complete))
		Expect(b.Results).To(Equal(a.Results))
		for entry := range 2 {
			again := s.submit(entry, r)
			Expect(again.Results).To(Equal(a.Results))
			Expect(again.Resent).To(BeTrue())
		}
		Expect(s.starts(r.ID)).To(Equal(map[uint64]int{0: 1, 1: 1, 2: 1, 3: 1, 4: 1}))
		other := *r
		other.Tasks = r.Tasks[:4]
		for entry := range 2 {
			Expect(s.submit(entry, &other).Error.Kind).To(Equal("submission_mismatch"))
		}
	})

	It("does not start a submission again whose entry crashed (hazards 1 and 2)", func() {
		s := start(2, 3, nil)
		r := request(`{"sleep_ms":200}`)
		gone := s.submitAsync(0, r)
		Eventually(s.startedTasks(r.ID), longWait).Should(Equal(1))
		s.Entries[0].Kill()
		Eventually(gone, longWait).Should(BeClosed())
		a := s.submit(1, r)
		Expect(a.Error.Ran).To(Equal("unknown"))
		Expect(a.Error.Kind).To(BeElementOf("outcome_unknown", "claim_unavailable"))
		Expect(s.starts(r.ID)).To(Equal(map[uint64]int{0: 1}))
	})

	It("does not start a submission again whose holder was replaced at its address (hazard 2)", func() {
		s := start(2, 2, nil)
		r := request(`{"sleep_ms":1}`)
		Expect(s.submit(0, r).State).To(Equal(job.Complete))
		s.Entries[0].Kill()
		for i := range s.Agents {
			Expect(s.RestartAgent(i)).To(Succeed())
		}
		Eventually(s.Entries[1].Connected, longWait).Should(Equal(2))
		Eventually(func() string { return s.submit(1, r).Error.Kind }, longWait).Should(Equal("outcome_unknown"))
		Expect(s.starts(r.ID)).To(Equal(map[uint64]int{0: 1}))
		Eventually(func() job.State { return s.submit(1, request(`1`)).State }, longWait, "200ms").Should(Equal(job.Complete))
	})

	It("fails a job at once when an agent crashes that holds tasks of it (hazards 8 and 11)", func() {
		s := start(1, 2, nil)
		r := request(repeat(8, `{"sleep_ms":20000}`)...)
		answer := s.submitAsync(0, r)
		Eventually(s.startedTasks(r.ID), longWait).Should(Equal(8))
		s.Agents[0].Kill()
		a := <-answer
		Expect(a.Error.Kind).To(Equal("agent_lost"))
		Expect(a.Error.Ran).To(Equal("unknown"))
		Expect(a.Results).To(BeEmpty())
	})

	It("fails the whole job when one task fails, and cancels the tasks that have not started (hazard 11)", func() {
		s := start(1, 1, nil)
		r := request(append([]string{`{"fail":true}`}, repeat(30, `{"sleep_ms":300}`)...)...)
		a := s.submit(0, r)
		Expect(a.Error.Kind).To(Equal("task_failed"))
		Expect(a.Error.Ran).To(Equal("ran"))
		Expect(*a.Error.Task).To(Equal(0))
		Consistently(s.startedTasks(r.ID), "700ms").Should(BeNumerically("<", 20))
	})

	It("retries at another agent only tasks that certainly did not run", func() {
		s := start(1, 3, nil)
		s.Backends[0].Close()
		for range 5 {
			a := s.submit(0, request(repeat(6, `1`)...))
			Expect(a.State).To(Equal(job.Complete), "%+v", a.Error)
		}
		s.Backends[1].SetFaults(fakebackend.Faults{CloseRate: 1})
		r := request(repeat(9, `1`)...)
		a := s.submit(0, r)
		Expect(a.Error.Kind).To(Equal("backend_lost"))
		for task, n := range s.starts(r.ID) {
			Expect(n).To(Equal(1), "task %d", task)
		}
	})

	It("completes all jobs in flight at a planned stop of an agent and an entry (hazard 26)", func() {
		s := start(2, 3, nil)
		var answers []<-chan *job.Answer
		for n := range 12 {
			answers = append(answers, s.submitAsync(n%2, request(repeat(3, `{"sleep_ms":1500,"echo":7}`)...)))
		}
		Eventually(s.unfinishedJobs, longWait, "5ms").Should(Equal(12))
		ctx, cancel := context.WithTimeout(s.ctx, longWait)
		defer cancel()
		s.Agents[0].Stop(ctx)
		s.Entries[0].Stop(ctx)
		for _, c := range answers {
			a, ok := <-c
			Expect(ok).To(BeTrue())
			Expect(a.State).To(Equal(job.Complete), "%+v", a.Error)
		}
		_, err := s.clients[0].Submit(s.ctx, request(`1`))
		Expect(err).To(HaveOccurred())
		ids, err := s.clients[1].IDs(s.ctx, 20)
		Expect(err).NotTo(HaveOccurred())
		for _, id := range ids {
			r := request(repeat(6, `1`)...)
			r.ID = id
			Expect(s.submit(1, r).State).To(Equal(job.Complete))
		}
	})

	It("places no tasks on boxes listed as leaving, and keeps working during an outage of the platform (hazards 24 and 25)", func() {
		s := start(1, 3, func(o *local.Options) {
			o.Entry = func(c *config.Entry) { c.BoxList.Poll = config.Duration(50 * time.Millisecond) }
		})
		boxes := make([]membership.Box, 3)
		for i := range boxes {
			boxes[i] = membership.Box{Name: fmt.Sprint(i), Address: s.Agents[i].Addr(), State: membership.Live}
		}
		boxes[0].State = membership.Leaving
		s.BoxList.SetBoxes(boxes)
		leaving := func() bool {
			var state struct {
				Agents []struct{ Leaving bool }
			}
			Expect(s.clients[0].Get(s.ctx, "/v1/state", &state)).To(Succeed())
			n := 0
			for _, a := range state.Agents {
				if a.Leaving {
					n++
				}
			}
			return n == 1
		}
		Eventually(leaving, longWait).Should(BeTrue())
		before := len(s.Backends[0].Journal())
		s.BoxList.SetBoxes(nil)
		s.BoxList.SetFaults(fakeboxlist.Faults{Outage: true})
		for range 5 {
			Expect(s.submit(0, request(repeat(9, `1`)...)).State).To(Equal(job.Complete))
		}
		Expect(s.Backends[0].Journal()).To(HaveLen(before))
	})

	It("waits for an answer longer than the time limit for a request's body", func() {
		s := start(1, 1, func(o *local.Options) {
			o.Entry = func(c *config.Entry) { c.HTTP.BodyTimeout = config.Duration(300 * time.Millisecond) }
		})
		Expect(s.submit(0, request(`{"sleep_ms":1500,"echo":7}`)).State).To(Equal(job.Complete))
	})

	It("changes its log level while it runs", func() {
		s := start(1, 1, nil)
		for _, url := range []string{s.URLs()[0], "http://" + s.Agents[0].AdminAddr()} {
			req, err := http.NewRequestWithContext(s.ctx, http.MethodPut, url+"/v1/log-level", strings.NewReader(`{"level":"error"}`))
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(get(s.ctx, url+"/v1/log-level")).To(ContainSubstring(`"error"`))
		}
	})

	It("returns the state of a submission from any entry", func() {
		s := start(2, 2, nil)
		r := request(`{"sleep_ms":500}`)
		answer := s.submitAsync(0, r)
		Eventually(s.startedTasks(r.ID), longWait).Should(Equal(1))
		for _, c := range s.clients {
			a, err := c.Lookup(s.ctx, r.ID)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.State).To(Equal(job.Running))
		}
		Expect((<-answer).State).To(Equal(job.Complete))
		for _, c := range s.clients {
			a, err := c.Lookup(s.ctx, r.ID)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.State).To(Equal(job.Complete))
		}
		a, err := s.clients[1].Lookup(s.ctx, client.NewID())
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Error.Kind).To(Equal("submission_not_found"))
	})
})

var _ = Describe("bad input", func() {
	It("is rejected with its kind of failure, counted, and starts no task", func() {
		s := start(1, 1, nil)
		id := client.NewID()
		good := `{"id":"` + id + `","team":"` + local.Workspace + `","pool":"` + local.Pool + `","tasks":[{"payload":1}]}`
		for change, want := range map[string]string{
			`"` + local.Workspace + `"`: "unknown_team", `"` + local.Pool + `"`: "unknown_pool", `[{"payload":1}]`: "bad_request",
		} {
			body := strings.Replace(good, id, client.NewID(), 1)
			body = strings.Replace(body, change, `"nobody"`, 1)
			status, a := s.post(body)
			Expect(a.Error.Kind).To(Equal(want))
			Expect(a.Error.Ran).To(Equal("not run"))
			Expect(status).To(And(BeNumerically(">=", 400), BeNumerically("<", 500)))
		}
		status, a := s.post(strings.Replace(good, `"tasks"`, `"deadline":"2020-01-01T00:00:00Z","tasks"`, 1))
		Expect(a.Error.Kind).To(Equal("deadline_past"))
		Expect(status).To(Equal(400))
		status, a = s.post(`{"id":"` + strings.Repeat("x", 9<<20) + `"}`)
		Expect(a.Error.Kind).To(Equal("too_large"))
		Expect(status).To(Equal(413))
		_, a = s.post(strings.Repeat(`{"tasks":[`, 100000))
		Expect(a.Error.Kind).To(Equal("bad_request"))
		Expect(s.Backends[0].Journal()).To(BeEmpty())
		Eventually(s.metrics, longWait).Should(ContainSubstring(`kind="unknown_team"`))
		Eventually(s.metrics, longWait).Should(MatchRegexp(`lichenfall_answers\{kind="bad_request".*\} 2`))
	})

	It("on the port for peers closes only its own connection, and is counted (hazards 15 and 39)", func() {
		s := start(1, 1, nil)
		for reason, bytes := range map[string]string{
			"too_long": "\xff\xff\xff\xff\x01", "malformed": "\x00\x00\x00\x02\x01\xc1",
			"no_hello": "\x00\x00\x00\x02\x09\x90", "unknown_kind": "GET / HTTP/1.1\r\n\r\n",
		} {
			if reason == "unknown_kind" {
				bytes = "\x00\x00\x00\x02\xee\x90"
			}
			nc, err := net.Dial("tcp", s.Agents[0].Addr())
			Expect(err).NotTo(HaveOccurred())
			_, err = nc.Write([]byte(bytes))
			Expect(err).NotTo(HaveOccurred())
			Expect(nc.SetReadDeadline(time.Now().Add(longWait))).To(Succeed())
			_, err = nc.Read(make([]byte, 1<<10)) // the agent's hello
			Expect(err).NotTo(HaveOccurred())
			_, err = nc.Read(make([]byte, 1))
			Expect(err).To(HaveOccurred())
			Expect(nc.Close()).To(Succeed())
			Eventually(func() string { return get(s.ctx, "http://"+s.Agents[0].AdminAddr()+"/metrics") }, longWait).
				Should(MatchRegexp(`lichenfall_connection_faults\{reason="` + reason + `".*\} 1`))
		}
		Expect(s.submit(0, request(`1`)).State).To(Equal(job.Complete))
	})
})

func (s *system) post(body string) (int, *job.Answer) {
	GinkgoHelper()
	resp, err := http.Post(s.URLs()[0]+"/v1/submissions", "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	a := &job.Answer{}
	Expect(json.NewDecoder(resp.Body).Decode(a)).To(Succeed())
	return resp.StatusCode, a
}

func (s *system) metrics() string { return get(s.ctx, s.URLs()[0]+"/metrics") }

func get(ctx context.Context, url string) string {
	GinkgoHelper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var b strings.Builder
	buf := make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			return b.String()
		}
	}
}
