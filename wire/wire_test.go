package wire_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

const maxFrame = 1 << 20

func samples() []wire.Message {
	return []wire.Message{
		&wire.Hello{Version: wire.Version, Role: wire.RoleAgent, Box: "b", Incarnation: "i", Pool: "p", Slots: 8, UnixMicros: -5},
		&wire.Place{Seq: 3, Job: 7, Submission: "s@1", Tasks: []wire.Task{{Index: 149, Attempt: 1, Payload: []byte(`{"a":1}`)}}},
		&wire.Cancel{Job: 7, Indexes: []uint32{0, 149}},
		&wire.Results{Load: wire.Load{Queued: 1, Slots: 8}, Items: []wire.Result{{Job: 7, Index: 3, Body: []byte(`"x"`)}}},
		&wire.Claim{Seq: 9, Submission: "s@1", Digest: []byte{1, 2}, Assignment: 1 << 63},
		&wire.ClaimReply{Seq: 9, Verdict: 1, Owner: "10.0.0.1:7071", GrantSeq: 9},
		&wire.Fetch{Seq: 1, Submission: "s@1", Incarnation: "i"},
		&wire.Fetched{Seq: 1, Found: true, Answer: []byte(`{}`)},
		&wire.Ping{},
		&wire.LeaveAck{},
		&wire.OwnerHeartbeat{Seq: 3, Echo: 9, Partitions: []wire.PartitionEpoch{{Partition: 1, Epoch: 7}}},
		&wire.WorkerStatus{Stamp: 1, Ready: true, Free: durable.Resources{CPU: -5}, Fenced: []uint32{2}, Identity: &wire.BackendIdentity{
			Instance: "i", Service: "s", Capacity: durable.Resources{CPU: 8}, Labels: []string{"a"}}},
		&wire.StartRuns{Seq: 4, Runs: []wire.RunOrder{{Ref: someRun, Epoch: 7, Spec: "x", LimitMS: 300, BestEffort: true}}},
		&wire.StopRuns{Runs: []wire.RunRef{someRun}},
		&wire.RunEnds{Ends: []wire.RunEnd{{Ref: someRun, How: uint8(wire.EndDone), Checkpoint: "c", RunMS: 60}}},
		&wire.EndsKept{Runs: []wire.RunRef{someRun}},
		&wire.PartitionRuns{Partition: 1, Epoch: 7, StartSeq: 4, Running: []wire.RunRef{someRun}, Ended: []wire.RunEnd{{Ref: someRun}}},
		&wire.JobCall{Seq: 1, Kind: uint8(wire.CallSubmit), ID: someRun.Task.Job, Submission: &durable.Submission{ID: someRun.Task.Job, Steps: []durable.Step{{Count: 2}}}},
		&wire.JobReply{Seq: 1, Failure: 3, State: 2, RetryMS: 500},
		&wire.QueueCounts{Partitions: []wire.PartitionEpoch{{Partition: 1}}, Counts: []wire.QueueCount{{Queue: "q", Jobs: 4}}},
		&wire.HandOver{},
		&wire.KeepAlive{},
		&wire.KeepAliveAck{},
		&wire.RunsQuery{Runs: []wire.RunRef{someRun}},
		&wire.CrashReport{Crashes: []wire.TaskCrash{{Task: someRun.Task, Instance: "i", Begun: true, GivenUp: true}}},
		&wire.RecordedBackend{Instance: "i", Born: 1764700000000, Service: "s", Ready: true, Labels: []string{"a"}},
		&wire.CapacityRequest{Seq: 4, Seen: 77, Waits: []wire.WaitingGroup{{WaitingWork: wire.WaitingWork{Priority: 1, FirstMS: -20, LastMS: 90, Work: 1200}, Need: durable.Resources{CPU: 1500, Memory: 64}, Tasks: 3}}},
		&wire.JobClaims{Seq: 2, Complete: true, Withdrawn: []uint64{7}, Claims: []uint64{1 << 63, 8}},
		&wire.ReportPending{Partition: 3, Epoch: 7},
		&wire.EndTerms{Terms: []wire.PartitionEpoch{{Partition: 3, Epoch: 7}}},
		&wire.TermsEnded{Terms: []wire.PartitionEpoch{{Partition: 3, Epoch: 7}}},
		&wire.JobClaimsReply{Seq: 2, Unsure: true, Denied: []wire.DeniedClaim{{Job: 8, Holder: "10.0.0.1:7071"}}},
		&wire.RunNeeds{Runs: []wire.RunNeed{{Ref: someRun, Need: durable.Resources{CPU: 1500, Memory: 64}}}},
	}
}

var someRun = wire.RunRef{Task: durable.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}, Run: 2}

func read(b []byte) (wire.Message, error) {
	m, _, err := wire.Read(bufio.NewReader(bytes.NewReader(b)), maxFrame)
	return m, err
}

func frame(body ...byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

var _ = Describe("frames", func() {
	It("encode and decode each kind of message", func() {
		var b []byte
		for _, m := range samples() {
			var err error
			b, err = wire.Append(b, m)
			Expect(err).NotTo(HaveOccurred())
		}
		r := bufio.NewReader(bytes.NewReader(b))
		for _, m := range samples() {
			got, _, err := wire.Read(r, maxFrame)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(m))
		}
		_, _, err := wire.Read(r, maxFrame)
		Expect(err).To(Equal(io.EOF))
		Expect(samples()).To(HaveLen(len(wire.Kinds())))
	})

	DescribeTable("return an error with a metric label if they are invalid",
		func(b []byte, want error, reason string) {
			_, err := read(b)
			Expect(err).To(MatchError(want))
			got, ok := wire.FaultReason(err)
			Expect(ok).To(BeTrue())
			Expect(got).To(Equal(reason))
		},
		Entry("a length far over the limit", []byte{0xff, 0xff, 0xff, 0xff, 1}, wire.ErrTooLong, "too_long"),
		Entry("one byte over the limit", binary.BigEndian.AppendUint32(nil, maxFrame-3), wire.ErrTooLong, "too_long"),
		Entry("no content", frame(), wire.ErrEmpty, "empty"),
		Entry("a truncated length", []byte{0, 0}, wire.ErrTruncated, "truncated"),
		Entry("a truncated body", frame(1, 2, 3)[:6], wire.ErrTruncated, "truncated"),
		Entry("an unknown kind", frame(200, 0x90), wire.ErrUnknownKind, "unknown_kind"),
		Entry("a body that is not msgpack", frame(byte(wire.KindPlace), 0xc1), wire.ErrMalformed, "malformed"),
		Entry("bytes after the message", frame(byte(wire.KindPing), 0x90, 0), wire.ErrMalformed, "malformed"),
		Entry("an array with a length of a billion elements", frame(byte(wire.KindCancel), 0x92, 1, 0xdd, 0x40, 0, 0, 0), wire.ErrMalformed, "malformed"),
	)
})

var _ = Describe("messages", func() {
	DescribeTable("are counted by label, as wasted or not", func(m wire.Message, label string, wasted bool) {
		Expect(wire.Label(m)).To(Equal(label))
		Expect(wire.Wasted(label)).To(Equal(wasted))
		Expect(wire.Labels()).To(ContainElement(label))
	},
		Entry("a first attempt of a task", &wire.Place{Tasks: []wire.Task{{Attempt: 2}, {Attempt: 1}}}, "place", false),
		Entry("further attempts only", &wire.Place{Tasks: []wire.Task{{Attempt: 2}}}, "place_again", true),
		Entry("an answer", &wire.Results{Items: []wire.Result{{Ran: 1}, {Ran: 2}}}, "results", false),
		Entry("refusals", &wire.Results{Items: []wire.Result{{Ran: 1}}}, "results_empty", true),
		Entry("the load without items", &wire.Results{}, "results_empty", true),
		Entry("a claim", &wire.Claim{}, "claim", true),
		Entry("a fetched answer", &wire.Fetched{}, "fetched", false),
	)
})

func FuzzRead(f *testing.F) {
	for _, m := range samples() {
		b, err := wire.Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add(frame(byte(wire.KindCancel), 0x92, 1, 0xdd, 0x40, 0, 0, 0))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := read(b)
		if err != nil {
			if _, known := wire.FaultReason(err); !known && err != io.EOF {
				t.Fatalf("error without a metric label: %v", err)
			}
			return
		}
		encoded, err := wire.Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := read(encoded)
		if err != nil {
			t.Fatalf("a decoded message cannot be encoded and decoded again: %v", err)
		}
		if reencoded, _ := wire.Append(nil, decoded); !bytes.Equal(reencoded, encoded) {
			t.Fatal("a message differs after it was encoded and decoded")
		}
	})
}
