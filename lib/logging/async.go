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

// Bounds of the log of one process.
const (
	asyncBytes     = 256 << 10 // that may wait to be written
	sampledPerTick = 60        // sampled lines in each sampleTick; measured: 59 lines/s on a quiet day
	faultsPerTick  = 5         // lines of one fault in each sampleTick
	sampleTick     = time.Second
	flushInterval  = 50 * time.Millisecond // between writes
)

// asyncWriter hands lines to a goroutine. It never blocks: when too much
// waits, lines are dropped and counted.
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

// Write is called by zap with one line.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buf)+len(line) > asyncBytes {
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

// Sync writes what waits.
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

// NewAsync returns a logger of JSON lines to out, which never blocks its
// callers. Lines logged through Sampled are sampled.
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

// budget counts the lines of one sampleTick.
type budget struct {
	since time.Time
	lines int
}

// take returns whether one more line is within the bound.
func (b *budget) take(now time.Time, most int) bool {
	if now.Sub(b.since) >= sampleTick {
		*b = budget{since: now}
	}
	b.lines++
	return b.lines <= most
}

// Sampled logs a line of a kind that there may be many of in ordinary work, unless
// there have been many such lines in this second. The next line that is logged says
// how many were left out.
func (l *Log) Sampled(now time.Time, message string, fields ...zap.Field) {
	l.mu.Lock()
	if !l.sampled.take(now, sampledPerTick) {
		l.leftOut++
		l.mu.Unlock()
		return
	}
	if l.leftOut > 0 {
		fields = append(fields, zap.Int64("left_out", l.leftOut))
		l.leftOut = 0
	}
	l.mu.Unlock()
	l.Info(message, fields...)
}

// Fault warns of something that may go wrong any number of times: the first few of
// each message in a second. Messages are constants of the code; none takes another's
// room, and ordinary work takes none of theirs.
func (l *Log) Fault(now time.Time, message string, fields ...zap.Field) {
	l.mu.Lock()
	if l.faults == nil {
		l.faults = make(map[string]*budget)
	}
	b := l.faults[message]
	if b == nil {
		b = &budget{}
		l.faults[message] = b
	}
	within := b.take(now, faultsPerTick)
	l.mu.Unlock()
	if within {
		l.Warn(message, fields...)
	}
}

// Dropped returns the number of lines that were lost because the output did
// not keep up.
func (l *Log) Dropped() int64 {
	if l.dropped == nil {
		return 0
	}
	return l.dropped.Load()
}
