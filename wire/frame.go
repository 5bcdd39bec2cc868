package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// Errors of invalid frames. After any of them the stream cannot be read further, and the
// connection has to be closed.
var (
	ErrTooLong     = errs.New("frame longer than allowed")
	ErrEmpty       = errs.New("frame without content")
	ErrTruncated   = errs.New("stream ended inside a frame")
	ErrUnknownKind = errs.New("unknown kind of message")
	ErrMalformed   = errs.New("malformed message")
)

// FaultReason returns the metric label for one of this package's frame errors; ok is false for
// any other error.
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

// DefaultMaxFrame is the default limit on the size of a frame, in bytes.
const DefaultMaxFrame = 4 << 20

const (
	lengthBytes = 4 // size of the length field
	kindBytes   = 1 // size of the kind field
	// firstRead is the most that is allocated for a body before any of it has arrived, in bytes:
	// the length field may be wrong.
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

// Read reads one frame of at most maxFrame bytes, the length field included, and returns its
// message and its size in bytes. It returns io.EOF when the stream ends between two frames. The
// message keeps no reference to r's buffer.
func Read(r *bufio.Reader, maxFrame int) (m Message, size int, err error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, headerError(err)
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

// Decode decodes a frame without its length field: the kind byte and the message.
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

func readBody(r *bufio.Reader, n int) ([]byte, error) {
	body := make([]byte, min(n, firstRead))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, bodyError(err)
	}
	if n <= firstRead {
		return body, nil
	}
	body = append(body, make([]byte, n-firstRead)...)
	if _, err := io.ReadFull(r, body[firstRead:]); err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

// headerError returns the error for a failed read of the length field. io.EOF stays as it is: the
// stream has ended between two frames.
func headerError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}

// bodyError returns the error for a failed read of the body, where io.EOF is a truncated frame too.
func bodyError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}
