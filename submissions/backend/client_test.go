package backend_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ports"
	"github.com/lichenfall/lichenfall/submissions/backend"
	"github.com/lichenfall/lichenfall/submissions/queue"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend")
}

func run(url string, timeout time.Duration) queue.Outcome {
	c := backend.New(backend.Settings{URL: url, Connections: 2, MaxAnswer: 100, DialTimeout: time.Second})
	defer c.Close()
	return runBy(c, timeout)
}

func runBy(c *backend.Client, timeout time.Duration) queue.Outcome {
	return c.Run(context.Background(), &queue.Task{Submission: "s@1", Payload: []byte(`{}`), Deadline: time.Now().Add(timeout), NotRepeatable: true})
}

func serve(h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.URL
}

var _ = Describe("a task at the backend server", func() {
	DescribeTable("ends as the answer says",
		func(h http.HandlerFunc, kind failure.Kind, ran failure.Ran) {
			o := run(serve(h), 10*time.Second)
			Expect(o.Kind).To(Equal(kind), o.Reason)
			Expect(o.Ran).To(Equal(ran))
		},
		Entry("an answer", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"a":1}`)) }, failure.None, failure.DidRun),
		Entry("an error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, failure.TaskFailed, failure.DidRun),
		Entry("a redirect, which is not followed", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) }, failure.TaskFailed, failure.DidRun),
		Entry("no JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{`)) }, failure.BadAnswer, failure.DidRun),
		Entry("too much", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 101)) }, failure.AnswerTooLarge, failure.DidRun),
		Entry("a connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, failure.BackendLost, failure.RanUnknown),
	)

	It("did not run when no byte could be sent", func() {
		free, err := ports.Free(1)
		Expect(err).NotTo(HaveOccurred())
		o := run("http://"+free[0], 10*time.Second)
		Expect(o.Kind).To(Equal(failure.BackendUnreachable))
		Expect(o.Ran).To(Equal(failure.NotRun))
		Expect(o.Reason).NotTo(ContainSubstring("http://"))
	})

	It("has an unknown end when the deadline passes after it was sent", func() {
		hang := make(chan struct{})
		url := serve(func(http.ResponseWriter, *http.Request) { <-hang })
		o := run(url, 50*time.Millisecond)
		close(hang)
		Expect(o.Kind).To(Equal(failure.DeadlineWhileRunning))
		Expect(o.Ran).To(Equal(failure.RanUnknown))
	})

	It("runs under a lease that ends with its deadline", func() {
		lease := make(chan string, 1)
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			lease <- r.Header.Get(backend.HeaderLease)
			_, _ = w.Write([]byte(`1`))
		})
		Expect(run(url, 10*time.Second).Kind).To(Equal(failure.None))
		Expect(strconv.Atoi(<-lease)).To(And(BeNumerically(">", 0), BeNumerically("<=", 10000)))
	})

	// Go's transport repeats a request that fails on a reused connection if it considers the
	// request repeatable. A task's request must reach the server only once (hazard 7).
	It("is never sent a second time on another connection", func() {
		var got atomic.Int64
		ln, err := net.Listen("tcp", ports.Any)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go answerOnceThenClose(nc, &got)
			}
		}()
		c := backend.New(backend.Settings{URL: "http://" + ln.Addr().String(), Connections: 1, MaxAnswer: 100, DialTimeout: time.Second})
		defer c.Close()
		Expect(runBy(c, 10*time.Second).Kind).To(Equal(failure.None))
		o := runBy(c, 10*time.Second)
		Expect(o.Kind).To(Equal(failure.BackendLost), o.Reason)
		Expect(o.Ran).To(Equal(failure.RanUnknown))
		Expect(got.Load()).To(Equal(int64(2)))
	})
})

// answerOnceThenClose answers the first request of a connection. It reads the second one and closes
// the connection without an answer.
func answerOnceThenClose(nc net.Conn, got *atomic.Int64) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body := make([]byte, req.ContentLength)
		_, _ = req.Body.Read(body)
		got.Add(1)
		if i == 0 {
			_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
		}
	}
}
