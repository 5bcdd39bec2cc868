package coordinator

import (
	"context"
	"sync"
	"time"
)

// memberSync reads the registered processes for takeovers, and shares a reading among all that it
// is recent enough for. At most one is in progress. Its methods may be called by any goroutine.
type memberSync struct {
	read func() error // returns once the members as of its call are posted, or with an error
	now  func() time.Time

	mu      sync.Mutex
	current *memberReading // the latest; nil before the first
}

// memberReading is one reading of the registered processes.
type memberReading struct {
	began time.Time
	done  chan struct{} // closed at its end
	err   error         // set before done is closed
}

// since returns once a reading has succeeded that began at the time given or later, and otherwise the
// error of the first that has failed.
func (s *memberSync) since(ctx context.Context, at time.Time) error {
	for {
		r := s.latest(at)
		select {
		case <-r.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !r.began.Before(at) {
			return r.err
		}
	}
}

// latest returns the reading in progress, or a successful one that began at the time given or later.
// Otherwise it begins one.
func (s *memberSync) latest(at time.Time) *memberReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.current; r != nil && (!r.ended() || !r.began.Before(at) && r.err == nil) {
		return r
	}
	r := &memberReading{began: s.now(), done: make(chan struct{})}
	s.current = r
	go func() {
		r.err = s.read()
		close(r.done)
	}()
	return r
}

func (r *memberReading) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}
