package fakestore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/store"
)

// Store is a store.Store for processes on real clocks.
type Store struct {
	mu            sync.Mutex
	state         *State
	configuration *routing.Configuration
	evacuations   routing.Evacuations
	changed       chan struct{} // closed and replaced at each change
	refusing      bool
	hidden        bool // the registered processes cannot be read
}

var _ store.Store = (*Store)(nil)

// New returns an empty store of so many partitions.
func New(partitions uint32) *Store {
	return &Store{state: NewState(partitions), changed: make(chan struct{})}
}

// Refuse makes the store turn away all calls, or take them again.
func (s *Store) Refuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refuse
}

// HideMembers makes the registered processes unreadable, or readable again.
func (s *Store) HideMembers(hide bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidden = hide
	s.change()
}

// Configure puts a configuration in force.
func (s *Store) Configure(c *routing.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration = c
	s.change()
}

// Evacuate sets the data centres in which nothing may be started.
func (s *Store) Evacuate(dataCentres ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = routing.Evacuations{Offset: s.evacuations.Offset + 1, DataCentres: slices.Sorted(slices.Values(dataCentres))}
	s.change()
}

func (s *Store) change() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Join implements store.Store.
func (s *Store) Join(_ context.Context, name string, generation uint64, ttl time.Duration) (store.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.Assignment{}, store.ErrRefused
	}
	return s.state.Join(time.Now(), name, generation, ttl), nil
}

// Leave implements store.Store.
func (s *Store) Leave(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.ErrRefused
	}
	s.state.Leave(time.Now(), name)
	return nil
}

// Fence implements store.Store.
func (s *Store) Fence(_ context.Context, partition uint32, epoch uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.ErrRefused
	}
	return s.state.Fence(partition, epoch)
}

// Append implements store.Store.
func (s *Store) Append(_ context.Context, partition uint32, epoch, number uint64, records []durable.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.ErrRefused
	}
	err := s.state.Append(partition, epoch, number, records)
	return err
}

// NewestRecords implements store.Store.
func (s *Store) NewestRecords(_ context.Context, partition uint32) ([]durable.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return nil, store.ErrRefused
	}
	return s.state.Newest(partition), nil
}

// Register implements store.Store.
func (s *Store) Register(_ context.Context, m store.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.ErrRefused
	}
	s.state.Register(m)
	s.change()
	return nil
}

// Registered returns how many processes are registered.
func (s *Store) Registered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.state.registered)
}

// WatchMembers implements store.Store.
func (s *Store) WatchMembers(ctx context.Context, f func([]store.Member)) {
	s.follow(ctx, func() func() {
		if s.hidden {
			return func() {}
		}
		members := s.state.Registered()
		return func() { f(members) }
	})
}

// WatchOperators implements store.Store.
func (s *Store) WatchOperators(ctx context.Context, _ time.Duration, f func(routing.OperatorUpdate)) {
	s.follow(ctx, func() func() {
		if s.refusing {
			return func() {}
		}
		news := routing.OperatorUpdate{Configuration: s.configuration, Evacuations: s.evacuations}
		return func() { f(news) }
	})
}

// follow reads under the lock, and tells without it, at each change.
func (s *Store) follow(ctx context.Context, read func() (tell func())) {
	for ctx.Err() == nil {
		s.mu.Lock()
		changed := s.changed
		tell := read()
		s.mu.Unlock()
		tell()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}
