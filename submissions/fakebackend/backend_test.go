package fakebackend_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/ports"
	"github.com/lichenfall/lichenfall/submissions/backend"
	"github.com/lichenfall/lichenfall/submissions/fakebackend"
	"github.com/lichenfall/lichenfall/submissions/queue"
)

func TestFakeBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fakebackend")
}

var _ = Describe("the stand-in for a backend server", func() {
	var b *fakebackend.Backend
	var c *backend.Client
	task := func(payload string, timeout time.Duration) *queue.Task {
		return &queue.Task{Submission: "s@1", Payload: []byte(payload), Deadline: time.Now().Add(timeout)}
	}
	BeforeEach(func() {
		var err error
		b, err = fakebackend.New(fakebackend.Settings{Listen: ports.Any, UsageLag: 300 * time.Millisecond}, 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		c = backend.New(backend.Settings{URL: b.URL(), Connections: 4, MaxAnswer: 1000, DialTimeout: time.Second})
		DeferCleanup(c.Close)
	})

	DescribeTable("does as the payload says", func(payload string, want failure.Kind) {
		Expect(c.Run(context.Background(), task(payload, 10*time.Second)).Kind).To(Equal(want))
		Expect(b.Journal()).To(HaveLen(1))
	},
		Entry("echo", `{"echo":1}`, failure.None),
		Entry("fail", `{"fail":true}`, failure.TaskFailed),
		Entry("close", `{"close":true}`, failure.BackendLost),
		Entry("too large", `{"size":2000}`, failure.AnswerTooLarge),
	)

	It("stops a task whose lease has lapsed", func() {
		Expect(c.Run(context.Background(), task(`{"sleep_ms":60000}`, 50*time.Millisecond)).Kind).To(Equal(failure.DeadlineWhileRunning))
		Eventually(func() int {
			u, err := c.Usage(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return u.Tasks
		}, "30s").Should(BeZero())
	})

	It("reports usage with its lag", func() {
		done := make(chan queue.Outcome)
		go func() { done <- c.Run(context.Background(), task(`{"sleep_ms":1500}`, 30*time.Second)) }()
		Eventually(func() int {
			u, err := c.Usage(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return u.Tasks
		}, "30s", "10ms").Should(Equal(1))
		Expect((<-done).Kind).To(Equal(failure.None))
	})
})
