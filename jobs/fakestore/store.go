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

// Store is the log service in memory, on the clock of package time, for coordinators and workers in
// the same process. Each of them reaches it through a Client of its own. It is safe for concurrent
// use.
type Store struct {
	mu            sync.Mutex
	state         *State
	configuration *routing.Configuration
	evacuations   routing.Evacuations
	changed       chan struct{} // closed and replaced by notify
	refusing      bool          // set by Refuse
	membersHidden bool          // set by HideMembers
}

// New returns an empty store with the number of partitions given.
func New(partitions uint32) *Store {
	return &Store{state: NewState(partitions), changed: make(chan struct{})}
}

// Refuse makes the store refuse all calls with store.ErrRefused, or accept them again. While it
// refuses, WatchOperators and WatchMembers call nothing.
func (s *Store) Refuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refuse
	s.notify()
}

// HideMembers makes the store refuse all readings of the registered processes, or accept them again.
func (s *Store) HideMembers(hide bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membersHidden = hide
	s.notify()
}

// Configure replaces the configuration that WatchOperators passes on.
func (s *Store) Configure(c *routing.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration = c
	s.notify()
}

// Evacuate replaces the list of evacuated data centres; without any, the evacuation ends.
func (s *Store) Evacuate(dataCentres ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = routing.Evacuations{Offset: s.evacuations.Offset + 1, DataCentres: slices.Sorted(slices.Values(dataCentres))}
	s.notify()
}

// Reassign revokes all partitions and assigns each anew at once, as State.Reassign does.
func (s *Store) Reassign(shift int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Reassign(time.Now(), shift)
}

// notify wakes all watches. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Join carries out store.Store.Join.
func (s *Store) Join(_ context.Context, name string, generation uint64, ttl time.Duration) (store.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.Assignment{}, store.ErrRefused
	}
	return s.state.Join(time.Now(), name, generation, ttl), nil
}

// Leave carries out store.Store.Leave.
func (s *Store) Leave(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.ErrRefused
	}
	s.state.Leave(time.Now(), name)
	return nil
}

// Fence carries out store.Store.Fence.
func (s *Store) Fence(_ context.Context, partition uint32, epoch uint64, term durable.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.ErrRefused
	}
	return s.state.Fence(partition, epoch, term)
}

// Append carries out store.Store.Append.
func (s *Store) Append(_ context.Context, partition uint32, epoch, number uint64, records []durable.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.ErrRefused
	}
	err := s.state.Append(partition, epoch, number, records)
	return err
}

// NewestRecords carries out store.Store.NewestRecords.
func (s *Store) NewestRecords(_ context.Context, partition uint32) ([]durable.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return nil, store.ErrRefused
	}
	return s.state.Newest(partition), nil
}

// Register carries out store.Store.Register.
func (s *Store) Register(_ context.Context, m store.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.ErrRefused
	}
	s.state.Register(m)
	s.notify()
	return nil
}

// Registered returns the number of registered processes.
func (s *Store) Registered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.state.registered)
}

// members returns all registered processes.
func (s *Store) members() ([]store.Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing || s.membersHidden {
		return nil, store.ErrRefused
	}
	return s.state.Registered(), nil
}

// WatchOperators carries out store.Store.WatchOperators, and calls f at the start and after each
// change only.
func (s *Store) WatchOperators(ctx context.Context, _ time.Duration, f func(routing.OperatorUpdate)) {
	s.watch(ctx, func() func() {
		if s.refusing {
			return func() {}
		}
		update := routing.OperatorUpdate{Configuration: s.configuration, Evacuations: s.evacuations}
		return func() { f(update) }
	})
}

// watch calls read with mu held, then the function that read returns without it: at the start
// and after each call of notify, until ctx ends.
func (s *Store) watch(ctx context.Context, read func() (deliver func())) {
	for ctx.Err() == nil {
		s.mu.Lock()
		changed := s.changed
		deliver := read()
		s.mu.Unlock()
		deliver()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}
