package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the log of one process.
const (
	maxBuffered    = 256 << 10 // bytes that wait to be written
	maxSampled     = 60        // sampled lines in a sampleInterval; ordinary load has up to 59 a second
	maxFaults      = 5         // lines with the same message, logged by Fault, in a sampleInterval
	sampleInterval = time.Second
	flushInterval  = 50 * time.Millisecond // time between two writes
)

// asyncWriter buffers lines for a goroutine that writes them. Write never blocks: if the buffer is
// full, lines are dropped and counted.
type asyncWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu   sync.Mutex
	buf  []byte
	wake chan struct{}
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write adds one line to the buffer. Zap calls it.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buf)+len(line) > maxBuffered {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync writes the buffer.
func (w *asyncWriter) Sync() error {
	w.mu.Lock()
	buf := w.buf
	w.buf = nil
	w.mu.Unlock()
	if len(buf) == 0 {
		return nil
	}
	_, err := w.out.Write(buf)
	return err
}

func (w *asyncWriter) run() {
	for range w.wake {
		_ = w.Sync()
		time.Sleep(flushInterval)
	}
}

// NewAsync returns a logger that writes JSON lines to out and never blocks its callers: it drops lines
// if out is too slow (Dropped). Its goroutine runs until the process ends.
func NewAsync(out io.Writer, level string) (*Log, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	w := newAsyncWriter(out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, l)
	return &Log{Logger: zap.New(core), Level: l, dropped: &w.dropped}, nil
}

// rateLimit counts the lines in the present sampleInterval.
type rateLimit struct {
	since time.Time
	lines int
}

// allow counts one more line and reports whether it is within the limit.
func (r *rateLimit) allow(now time.Time, limit int) bool {
	if now.Sub(r.since) >= sampleInterval {
		*r = rateLimit{since: now}
	}
	r.lines++
	return r.lines <= limit
}

// Sampled logs a line of a kind that may be frequent in ordinary operation. It omits the line if
// maxSampled such lines were logged in this second. The next line that is logged has the number of
// omitted ones.
func (l *Log) Sampled(now time.Time, message string, fields ...zap.Field) {
	l.mu.Lock()
	if !l.sampled.allow(now, maxSampled) {
		l.omitted++
		l.mu.Unlock()
		return
	}
	if l.omitted > 0 {
		fields = append(fields, zap.Int64("left_out", l.omitted))
		l.omitted = 0
	}
	l.mu.Unlock()
	l.Info(message, fields...)
}

// Fault logs a warning of a fault that may occur very often: at most maxFaults lines with the same
// message in a second. Each message has a limit of its own, which Sampled does not use up. Messages
// are constants, so that the number of limits is bounded.
func (l *Log) Fault(now time.Time, message string, fields ...zap.Field) {
	l.mu.Lock()
	if l.faults == nil {
		l.faults = make(map[string]*rateLimit)
	}
	b := l.faults[message]
	if b == nil {
		b = &rateLimit{}
		l.faults[message] = b
	}
	within := b.allow(now, maxFaults)
	l.mu.Unlock()
	if within {
		l.Warn(message, fields...)
	}
}

// Dropped returns the number of lines that were lost because the output was too slow.
func (l *Log) Dropped() int64 {
	if l.dropped == nil {
		return 0
	}
	return l.dropped.Load()
}
