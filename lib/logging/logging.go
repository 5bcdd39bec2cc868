// Package logging creates the structured logger of a process. It owns the buffer of lines that wait
// to be written, the limits on frequent lines and the counts of omitted and dropped ones. A logger
// of NewAsync never blocks its callers; it relies on the output being read before the buffer is
// full, and drops lines otherwise.
package logging

import (
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Log is a logger whose level can be changed while the program runs.
type Log struct {
	*zap.Logger
	Level zap.AtomicLevel // also an http.Handler: GET and PUT {"level":"debug"}

	dropped *atomic.Int64
	mu      sync.Mutex // guards the fields below
	sampled rateLimit
	omitted int64                 // lines omitted since the last one that Sampled logged
	faults  map[string]*rateLimit // by message
}

// New returns a logger that writes to standard error, without a buffer. level is debug, info, warn
// or error; format is json or text.
func New(level, format string) (*Log, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	cfg := zap.NewProductionConfig()
	if format == "text" {
		cfg = zap.NewDevelopmentConfig()
		cfg.DisableStacktrace = true
	}
	cfg.Level = l
	logger, err := cfg.Build()
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return &Log{Logger: logger, Level: l}, nil
}

// Flush writes the lines that are buffered. It is called at the end of a process, where errors cannot
// be reported any more.
func (l *Log) Flush() { _ = l.Sync() }

// Discard returns a logger that writes nothing.
func Discard() *Log {
	return &Log{Logger: zap.NewNop(), Level: zap.NewAtomicLevel()}
}
