package durable_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

func TestDurable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "durable")
}

var _ = Describe("job IDs", func() {
	DescribeTable("are 16 hexadecimal digits", func(id string, valid bool) {
		Expect(durable.JobID(id).Valid()).To(Equal(valid))
	},
		Entry("digits", "5c0e7a21d94b36f8", true),
		Entry("capitals", "5C0E7A21D94B36F8", true),
		Entry("too short", "5c0e7a21d94b36f", false),
		Entry("too long", "5c0e7a21d94b36f80", false),
		Entry("another letter", "5c0e7a21d94b36fg", false),
		Entry("a path", "5c0e7a21/94b36f8", false),
		Entry("empty", "", false),
	)

	DescribeTable("malformed task IDs are refused", func(s string) {
		_, ok := durable.ParseTaskID(s)
		Expect(ok).To(BeFalse())
	},
		Entry("empty", ""),
		Entry("three parts", "5c0e7a21d94b36f8.0.1"),
		Entry("five parts", "5c0e7a21d94b36f8.0.1.2.3"),
		Entry("a sign", "5c0e7a21d94b36f8.0.1.-2"),
		Entry("a large number", "5c0e7a21d94b36f8.0.1.99999999999"),
		Entry("another job", "5c0e.0.1.2"),
	)
})

func anyTaskID() *rapid.Generator[durable.TaskID] {
	return rapid.Custom(func(t *rapid.T) durable.TaskID {
		return durable.TaskID{
			Job:    durable.JobID(rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "job")),
			Repeat: rapid.Uint32().Draw(t, "repeat"),
			Step:   rapid.Uint32().Draw(t, "step"),
			Index:  rapid.Uint32().Draw(t, "index"),
		}
	})
}

func TestTaskIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := anyTaskID().Draw(t, "task")
		back, ok := durable.ParseTaskID(id.String())
		if !ok || back != id {
			t.Fatalf("%v was parsed as %v, %v", id, back, ok)
		}
	})
}

func TestBitmapIsASet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b durable.Bitmap
		want := make(map[int]bool)
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 300)).Draw(t, "members") {
			b = b.With(n)
			want[n] = true
		}
		for n := range 301 {
			if b.Has(n) != want[n] {
				t.Fatalf("%d: %v, want %v", n, b.Has(n), want[n])
			}
		}
		if b.Len() != len(want) {
			t.Fatalf("length %d, want %d", b.Len(), len(want))
		}
	})
}

var _ = Describe("records", func() {
	job := &durable.Submission{
		ID:    "5c0e7a21d94b36f8",
		Queue: durable.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 60},
		Spec:  "do it",
		Steps: []durable.Step{{Count: 2, Need: durable.Resources{CPU: 500}}, {Count: 1, DependsOn: []uint32{0}}},
		Epoch: 7,
	}

	It("are decoded as they were encoded", func() {
		s, err := durable.SubmissionRecord(job)
		Expect(err).NotTo(HaveOccurred())
		p, err := durable.ProgressRecord(job.ID, &durable.Progress{Done: durable.Bitmap{}.With(1), Failures: []durable.Failure{{Task: 0, Runs: []uint32{1, 17}}}})
		Expect(err).NotTo(HaveOccurred())
		jobs, malformed := durable.Collect([]durable.Record{s, p})
		Expect(malformed).To(BeEmpty())
		Expect(jobs).To(HaveLen(1))
		Expect(jobs[job.ID].Submission).To(Equal(job))
		Expect(jobs[job.ID].Progress.Done.Has(1)).To(BeTrue())
		Expect(jobs[job.ID].Progress.Failures).To(ConsistOf(durable.Failure{Task: 0, Runs: []uint32{1, 17}}))
	})

	It("hold the crashes during a job's runs, and are encoded as before without any", func() {
		before := &durable.Progress{Done: durable.Bitmap{}.With(1)}
		plain, err := durable.ProgressRecord(job.ID, before)
		Expect(err).NotTo(HaveOccurred())
		tuple, err := before.MarshalMsg(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(plain.Value).To(Equal(tuple))
		crashes := durable.Crashes{{Task: 0, Instance: "i-3", Begun: true}, {Task: 1, Instance: "i-4"}}
		p, err := durable.ProgressRecord(job.ID, &durable.Progress{Done: before.Done, Crashes: crashes})
		Expect(err).NotTo(HaveOccurred())
		jobs, malformed := durable.Collect([]durable.Record{p})
		Expect(malformed).To(BeEmpty())
		Expect(jobs[job.ID].Progress.Crashes).To(Equal(crashes))
		p.Value = p.Value[:len(p.Value)-1]
		_, malformed = durable.Collect([]durable.Record{p})
		Expect(malformed).To(HaveLen(1))
	})

	It("are decoded even if others are malformed", func() {
		good, err := durable.SubmissionRecord(job)
		Expect(err).NotTo(HaveOccurred())
		truncated := good
		truncated.Key = "aaaaaaaaaaaaaaaas"
		truncated.Value = good.Value[:len(good.Value)-1]
		jobs, malformed := durable.Collect([]durable.Record{
			{Key: "short", Value: []byte{1}},
			{Key: "5c0e7a21d94b36f8?", Value: []byte{1}},
			truncated, good,
		})
		Expect(malformed).To(ConsistOf("short", "5c0e7a21d94b36f8?", "aaaaaaaaaaaaaaaas"))
		Expect(jobs).To(HaveLen(1))
		Expect(jobs).To(HaveKey(job.ID))
	})
})

func FuzzCollect(f *testing.F) {
	f.Add("5c0e7a21d94b36f8s", []byte{0x96})
	f.Add("5c0e7a21d94b36f8p", []byte{0x93, 0, 0, 0x90})
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		durable.Collect([]durable.Record{{Key: key, Value: value}})
	})
}
