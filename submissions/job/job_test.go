package job_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/job"
)

func TestJob(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "job")
}

var (
	now    = time.Unix(1_800_000_000, 0)
	limits = job.Limits{Tasks: 3, PayloadBytes: 20, Timeout: time.Minute, DefaultTimeout: 10 * time.Second}
)

const good = `{"id":"a@1800000000000","team":"t","pool":"p","tasks":[{"payload":1}]}`

func decodeAndCheck(body string) (*job.Submission, error) {
	r, err := job.Decode([]byte(body))
	if err != nil {
		return nil, err
	}
	return r.Check(now, limits)
}

var _ = Describe("a request", func() {
	It("is accepted with the default deadline", func() {
		s, err := decodeAndCheck(good)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Deadline).To(Equal(now.Add(limits.DefaultTimeout)))
		Expect(s.Payloads).To(HaveLen(1))
	})

	DescribeTable("that is invalid is refused with its kind and field",
		func(change, to string, kind failure.Kind, field string) {
			body := strings.Replace(good, change, to, 1)
			Expect(body).NotTo(Equal(good))
			_, err := decodeAndCheck(body)
			f := failure.From(err)
			Expect(f.Kind).To(Equal(kind), f.Error())
			Expect(f.Field).To(Equal(field), f.Error())
			Expect(f.Allowed).NotTo(BeEmpty())
		},
		Entry("malformed JSON", `"id"`, `id`, failure.BadRequest, "(body)"),
		Entry("a second value", `]}`, `]} {}`, failure.BadRequest, "(body)"),
		Entry("an unknown field", `"team"`, `"teem"`, failure.BadRequest, "teem"),
		Entry("a wrong type", `"t"`, `7`, failure.BadRequest, "team"),
		Entry("a wrong type in a task", `[{"payload":1}]`, `{"payload":1}`, failure.BadRequest, "tasks"),
		Entry("an empty ID", `"a@1800000000000"`, `""`, failure.BadRequest, "id"),
		Entry("an ID without a time", `"a@1800000000000"`, `"a"`, failure.BadRequest, "id"),
		Entry("an ID that is a UUID of another version", `"a@1800000000000"`, `"f47ac10b-58cc-4372-a567-0e02b2c3d479"`, failure.BadRequest, "id"),
		Entry("a control character in a name", `"t"`, `"t\n"`, failure.BadRequest, "team"),
		Entry("a name that is too long", `"p"`, `"`+strings.Repeat("p", 65)+`"`, failure.BadRequest, "pool"),
		Entry("no tasks", `[{"payload":1}]`, `[]`, failure.BadRequest, "tasks"),
		Entry("a task without payload", `{"payload":1}`, `{}`, failure.BadRequest, "tasks[0].payload"),
		Entry("too many tasks", `{"payload":1}`, `{"payload":1},{"payload":1},{"payload":1},{"payload":1}`, failure.TooLarge, "tasks"),
		Entry("a payload over the limit", `1}`, `"`+strings.Repeat("x", 30)+`"}`, failure.TooLarge, "tasks[0].payload"),
		Entry("a negative timeout", `"team"`, `"timeout_ms":-1,"team"`, failure.BadRequest, "timeout_ms"),
		Entry("a timeout over the limit", `"team"`, `"timeout_ms":60001,"team"`, failure.BadRequest, "timeout_ms"),
		Entry("a deadline too far away", `"team"`, `"deadline":"2099-01-01T00:00:00Z","team"`, failure.BadRequest, "deadline"),
		Entry("both kinds of deadline", `"team"`, `"timeout_ms":5,"deadline":"2027-01-15T08:00:10Z","team"`, failure.BadRequest, "deadline"),
	)

	It("has a digest that covers its content and not its deadline", func() {
		a, err := decodeAndCheck(good)
		Expect(err).NotTo(HaveOccurred())
		later, err := decodeAndCheck(strings.Replace(good, `"team"`, `"timeout_ms":5,"team"`, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(later.Digest).To(Equal(a.Digest))
		for change, to := range map[string]string{`"t"`: `"u"`, `"p"`: `"q"`, `1}`: `2}`} {
			other, err := decodeAndCheck(strings.Replace(good, change, to, 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(other.Digest).NotTo(Equal(a.Digest), change)
		}
		once, err := decodeAndCheck(strings.Replace(good, `"team"`, `"not_repeatable":true,"team"`, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(once.Digest).NotTo(Equal(a.Digest))
	})
})

var _ = Describe("a job", func() {
	newJob := func() *job.Job {
		return job.New(1, &job.Submission{ID: "a@1", Payloads: [][]byte{{}, {}, {}}})
	}

	It("is complete only with every result, in the order of the tasks", func() {
		j := newJob()
		for _, i := range []int{2, 0, 1} {
			Expect(j.Answer()).To(BeNil())
			j.Place(i, "x")
			j.Finish(i, []byte(fmt.Sprint(i)))
		}
		Expect(j.Answer().State).To(Equal(job.Complete))
		Expect(j.Answer().Results).To(Equal([]json.RawMessage{[]byte("0"), []byte("1"), []byte("2")}))
	})

	It("reports whether the submission ran from the states of its tasks", func() {
		j := newJob()
		j.Place(0, "x")
		j.Place(1, "x")
		j.HandBack(1)
		j.Fail(1, failure.New(failure.QueueFull, ""))
		Expect(j.Answer().Error.Ran).To(Equal("unknown"))
		Expect(*j.Answer().Tasks).To(Equal(job.Counts{Total: 3, NotRun: 2, Unknown: 1}))

		j = newJob()
		j.Fail(-1, failure.New(failure.NoAgent, ""))
		Expect(j.Answer().Error.Ran).To(Equal("not run"))

		j = newJob()
		j.Place(0, "x")
		j.Finish(0, []byte("0"))
		j.Fail(1, failure.New(failure.TaskFailed, ""))
		Expect(j.Answer().Error.Ran).To(Equal("ran"))
		Expect(j.Answer().Results).To(BeNil())
	})

	It("awaits no result of another agent or attempt", func() {
		j := newJob()
		j.Place(0, "x")
		j.HandBack(0)
		j.Place(0, "y")
		Expect(j.AwaitsResult(0, "y", 2)).To(BeTrue())
		Expect(j.AwaitsResult(0, "x", 2)).To(BeFalse())
		Expect(j.AwaitsResult(0, "y", 1)).To(BeFalse())
		Expect(j.AwaitsResult(3, "y", 1)).To(BeFalse())
		Expect(j.AwaitsResult(-1, "y", 1)).To(BeFalse())
	})
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"id":"a@1","tasks":[{"payload":{"a":[1,2,{"b":null}]}}],"deadline":"2027-01-15T08:00:00Z"}`))
	f.Add([]byte(strings.Repeat(`{"tasks":[`, 200)))
	f.Add([]byte("{\"id\":\"\x00\"}"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := decodeAndCheck(string(body))
		if err != nil {
			if failure.From(err).Kind == failure.Internal {
				t.Fatalf("an invalid body is refused as an internal error: %v", err)
			}
			return
		}
		if len(s.Payloads) == 0 || len(s.Payloads) > limits.Tasks {
			t.Fatalf("%d tasks are accepted", len(s.Payloads))
		}
		for _, p := range s.Payloads {
			if !json.Valid(p) {
				t.Fatalf("payload %q is accepted", p)
			}
		}
	})
}
