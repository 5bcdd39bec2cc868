package coordinator

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// syncCase is a memberSync whose readings the test answers, with a time that the test advances.
type syncCase struct {
	memberSync
	mu      sync.Mutex
	at      time.Time
	begun   chan struct{}
	answers chan error
}

func newSyncCase() *syncCase {
	s := &syncCase{at: time.Unix(1000, 0), begun: make(chan struct{}, 10), answers: make(chan error)}
	s.memberSync.now = func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.at
	}
	s.memberSync.read = func() error {
		s.begun <- struct{}{}
		return <-s.answers
	}
	return s
}

// ask waits for a reading since the present time, in the background.
func (s *syncCase) ask() <-chan error {
	at := s.memberSync.now()
	answer := make(chan error, 1)
	go func() { answer <- s.since(context.Background(), at) }()
	return answer
}

func (s *syncCase) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = s.at.Add(time.Second)
}

// TestReadingBegunBeforeATakeoverIsNotEnough guards against a takeover that does not ask a worker
// which registered after the reading that it relies on had begun.
func TestReadingBegunBeforeATakeoverIsNotEnough(t *testing.T) {
	s := newSyncCase()
	first := s.ask()
	<-s.begun
	s.advance()
	second, third := s.ask(), s.ask()
	s.answers <- nil
	if err := <-first; err != nil {
		t.Error(err)
	}
	<-s.begun
	select {
	case <-second:
		t.Error("an earlier reading was enough")
	case <-third:
		t.Error("an earlier reading was enough")
	default:
	}
	s.answers <- nil
	if err := errors.Join(<-second, <-third); err != nil {
		t.Error(err)
	}
	if len(s.begun) > 0 {
		t.Error("the second reading was not shared")
	}
}

// TestFailedReadingIsRepeated guards against a takeover that relies on a reading which has failed.
func TestFailedReadingIsRepeated(t *testing.T) {
	s := newSyncCase()
	failed := errors.New("no answer")
	first := s.ask()
	<-s.begun
	s.answers <- failed
	if err := <-first; !errors.Is(err, failed) {
		t.Errorf("got %v", err)
	}
	again := s.ask()
	<-s.begun
	s.answers <- nil
	if err := <-again; err != nil {
		t.Error(err)
	}
}
