// Package logging makes the structured logger of a process. It owns the buffer of
// lines that wait to be written and the count of those left out; it never blocks
// the caller, and relies on the output being read some day.
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
	mu      sync.Mutex // guards what follows
	sampled budget
	leftOut int64              // since the last line that was sampled
	faults  map[string]*budget // by message
}

// New returns a logger to standard error. level is debug, info, warn or error;
// format is json or text.
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

// Flush writes what waits to be written. It is called at the end of a process,
// when nothing is left that could be told of a failure.
func (l *Log) Flush() { _ = l.Sync() }

// Discard returns a logger that writes nothing.
func Discard() *Log {
	return &Log{Logger: zap.NewNop(), Level: zap.NewAtomicLevel()}
}
