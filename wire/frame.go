package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// Kind is the byte that names a message's type on the wire.
type Kind uint8

// The kinds of message.
const (
	KindHello          Kind = 1
	KindPlace          Kind = 2
	KindCancel         Kind = 3
	KindResults        Kind = 4
	KindClaim          Kind = 5
	KindClaimed        Kind = 6
	KindFetch          Kind = 7
	KindFetched        Kind = 8
	KindPing           Kind = 9
	KindLeave          Kind = 10
	KindOwnerHeartbeat Kind = 11
	KindWorkerStatus   Kind = 12
	KindStartRuns      Kind = 13
	KindStopRuns       Kind = 14
	KindRunEnds        Kind = 15
	KindEndsKept       Kind = 16
	KindPartitionRuns  Kind = 17
	KindJobCall        Kind = 18
	KindJobReply       Kind = 19
	KindQueueCounts    Kind = 20
	KindHandOver       Kind = 21
	KindRunsQuery      Kind = 22
)

// String returns the kind's name, as used in metric labels.
func (k Kind) String() string {
	switch k {
	case KindHello:
		return "hello"
	case KindPlace:
		return "place"
	case KindCancel:
		return "cancel"
	case KindResults:
		return "results"
	case KindClaim:
		return "claim"
	case KindClaimed:
		return "claim_reply"
	case KindFetch:
		return "fetch"
	case KindFetched:
		return "fetched"
	case KindPing:
		return "ping"
	case KindLeave:
		return "leave_ack"
	case KindOwnerHeartbeat:
		return "owner_heartbeat"
	case KindWorkerStatus:
		return "worker_status"
	case KindStartRuns:
		return "start_runs"
	case KindStopRuns:
		return "stop_runs"
	case KindRunEnds:
		return "run_ends"
	case KindEndsKept:
		return "ends_kept"
	case KindPartitionRuns:
		return "partition_runs"
	case KindJobCall:
		return "job_call"
	case KindJobReply:
		return "job_reply"
	case KindQueueCounts:
		return "queue_counts"
	case KindHandOver:
		return "hand_over"
	case KindRunsQuery:
		return "claim_runs"
	}
	return "unknown"
}

// Kinds returns all kinds of message.
func Kinds() []Kind {
	return []Kind{
		KindHello, KindPlace, KindCancel, KindResults,
		KindClaim, KindClaimed, KindFetch, KindFetched, KindPing, KindLeave,
		KindOwnerHeartbeat, KindWorkerStatus, KindStartRuns, KindStopRuns, KindRunEnds, KindEndsKept,
		KindPartitionRuns, KindJobCall, KindJobReply, KindQueueCounts, KindHandOver, KindRunsQuery,
	}
}

// Message is what a frame carries.
type Message interface {
	WireKind() Kind
	MarshalMsg(b []byte) ([]byte, error)
	UnmarshalMsg(b []byte) ([]byte, error)
}

// WireKind returns KindHello.
func (*Hello) WireKind() Kind { return KindHello }

// WireKind returns KindPlace.
func (*Place) WireKind() Kind { return KindPlace }

// WireKind returns KindCancel.
func (*Cancel) WireKind() Kind { return KindCancel }

// WireKind returns KindResults.
func (*Results) WireKind() Kind { return KindResults }

// WireKind returns KindClaim.
func (*Claim) WireKind() Kind { return KindClaim }

// WireKind returns KindClaimed.
func (*ClaimReply) WireKind() Kind { return KindClaimed }

// WireKind returns KindFetch.
func (*Fetch) WireKind() Kind { return KindFetch }

// WireKind returns KindFetched.
func (*Fetched) WireKind() Kind { return KindFetched }

// WireKind returns KindPing.
func (*Ping) WireKind() Kind { return KindPing }

// WireKind returns KindLeave.
func (*LeaveAck) WireKind() Kind { return KindLeave }

// WireKind returns KindOwnerHeartbeat.
func (*OwnerHeartbeat) WireKind() Kind { return KindOwnerHeartbeat }

// WireKind returns KindWorkerStatus.
func (*WorkerStatus) WireKind() Kind { return KindWorkerStatus }

// WireKind returns KindStartRuns.
func (*StartRuns) WireKind() Kind { return KindStartRuns }

// WireKind returns KindStopRuns.
func (*StopRuns) WireKind() Kind { return KindStopRuns }

// WireKind returns KindRunEnds.
func (*RunEnds) WireKind() Kind { return KindRunEnds }

// WireKind returns KindEndsKept.
func (*EndsKept) WireKind() Kind { return KindEndsKept }

// WireKind returns KindPartitionRuns.
func (*PartitionRuns) WireKind() Kind { return KindPartitionRuns }

// WireKind returns KindJobCall.
func (*JobCall) WireKind() Kind { return KindJobCall }

// WireKind returns KindJobReply.
func (*JobReply) WireKind() Kind { return KindJobReply }

// WireKind returns KindQueueCounts.
func (*QueueCounts) WireKind() Kind { return KindQueueCounts }

// WireKind returns KindHandOver.
func (*HandOver) WireKind() Kind { return KindHandOver }

// WireKind returns KindRunsQuery.
func (*RunsQuery) WireKind() Kind { return KindRunsQuery }

// The ways in which a frame can be wrong. The connection is of no use after
// any of them.
var (
	ErrTooLong     = errs.New("frame longer than allowed")
	ErrEmpty       = errs.New("frame without content")
	ErrTruncated   = errs.New("stream ended inside a frame")
	ErrUnknownKind = errs.New("unknown kind of message")
	ErrMalformed   = errs.New("malformed message")
)

// FaultReason returns a short word for one of the errors above, to count by;
// ok is false for any other error.
func FaultReason(err error) (reason string, ok bool) {
	switch {
	case errors.Is(err, ErrTooLong):
		return "too_long", true
	case errors.Is(err, ErrEmpty):
		return "empty", true
	case errors.Is(err, ErrTruncated):
		return "truncated", true
	case errors.Is(err, ErrUnknownKind):
		return "unknown_kind", true
	case errors.Is(err, ErrMalformed):
		return "malformed", true
	}
	return "", false
}

// DefaultMaxFrame is the frame bound that the daemons use unless told
// otherwise, in bytes.
const DefaultMaxFrame = 4 << 20

const (
	lengthBytes = 4
	kindBytes   = 1
	// firstRead bounds what is allocated on the word of a length field alone.
	firstRead = 64 << 10
)

// Append appends m as a frame to b.
func Append(b []byte, m Message) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(m.WireKind()))
	b, err := m.MarshalMsg(b)
	if err != nil {
		return b[:start], errs.Wrap(err)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthBytes))
	return b, nil
}

// Read reads one frame of at most maxFrame bytes and returns its message and
// its size. It returns io.EOF when the stream ends between frames. The message
// keeps no reference to r's buffer.
func Read(r *bufio.Reader, maxFrame int) (m Message, size int, err error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, truncated(err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < kindBytes {
		return nil, 0, ErrEmpty
	}
	if uint64(n)+lengthBytes > uint64(maxFrame) {
		return nil, 0, ErrTooLong
	}
	body, err := readBody(r, int(n))
	if err != nil {
		return nil, 0, err
	}
	m, err = Decode(body)
	return m, lengthBytes + int(n), err
}

// Decode turns a frame's content, kind byte first, into a message.
func Decode(body []byte) (Message, error) {
	if len(body) < kindBytes {
		return nil, ErrEmpty
	}
	m := newMessage(Kind(body[0]))
	if m == nil {
		return nil, ErrUnknownKind
	}
	rest, err := m.UnmarshalMsg(body[kindBytes:])
	if err != nil || len(rest) != 0 {
		return nil, ErrMalformed
	}
	return m, nil
}

func newMessage(k Kind) Message {
	switch k {
	case KindHello:
		return &Hello{}
	case KindPlace:
		return &Place{}
	case KindCancel:
		return &Cancel{}
	case KindResults:
		return &Results{}
	case KindClaim:
		return &Claim{}
	case KindClaimed:
		return &ClaimReply{}
	case KindFetch:
		return &Fetch{}
	case KindFetched:
		return &Fetched{}
	case KindPing:
		return &Ping{}
	case KindLeave:
		return &LeaveAck{}
	case KindOwnerHeartbeat:
		return &OwnerHeartbeat{}
	case KindWorkerStatus:
		return &WorkerStatus{}
	case KindStartRuns:
		return &StartRuns{}
	case KindStopRuns:
		return &StopRuns{}
	case KindRunEnds:
		return &RunEnds{}
	case KindEndsKept:
		return &EndsKept{}
	case KindPartitionRuns:
		return &PartitionRuns{}
	case KindJobCall:
		return &JobCall{}
	case KindJobReply:
		return &JobReply{}
	case KindQueueCounts:
		return &QueueCounts{}
	case KindHandOver:
		return &HandOver{}
	case KindRunsQuery:
		return &RunsQuery{}
	}
	return nil
}

func readBody(r *bufio.Reader, n int) ([]byte, error) {
	body := make([]byte, min(n, firstRead))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, inside(err)
	}
	if n <= firstRead {
		return body, nil
	}
	body = append(body, make([]byte, n-firstRead)...)
	if _, err := io.ReadFull(r, body[firstRead:]); err != nil {
		return nil, inside(err)
	}
	return body, nil
}

func truncated(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}

func inside(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}
