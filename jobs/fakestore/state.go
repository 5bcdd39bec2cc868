// Package fakestore is a stand-in for the log service that keeps the product's
// state: partitions with fenced, numbered appends, keys of which the newest
// record stays, and a group whose members are dealt the partitions. It has the
// outages of the real one: lost and late answers, refusals, revocations.
package fakestore

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/store"
)

// rememberedAnswers is how many of the last appends of a partition get their
// first answer again, as the users' store has it.
const rememberedAnswers = 5

// State is the log service without its connections: what each call does when
// it arrives, at the time given.
type State struct {
	partitions []*partition
	members    map[string]*member
	generation uint64
	owner      map[uint32]string // the member that each partition is dealt to
	registered map[string]store.Member
}

type partition struct {
	epoch  uint64
	number uint64
	first  map[uint64]bool // numbers under the epoch that get their first answer again
	newest map[string][]byte
}

type member struct {
	joinedAt time.Time
	ttl      time.Duration
	heard    uint64
	releases map[uint32]bool // no longer listed for it, and not yet let go
}

// NewState returns an empty store of so many partitions.
func NewState(partitions uint32) *State {
	s := &State{
		members:    make(map[string]*member),
		owner:      make(map[uint32]string),
		registered: make(map[string]store.Member),
	}
	for range partitions {
		s.partitions = append(s.partitions, &partition{newest: make(map[string][]byte), first: make(map[uint64]bool)})
	}
	return s
}

// Join keeps the member in the group and returns what it owns.
func (s *State) Join(now time.Time, name string, generation uint64, ttl time.Duration) store.Assignment {
	s.expire(now)
	m := s.members[name]
	if m == nil {
		m = &member{releases: make(map[uint32]bool)}
		s.members[name] = m
		s.deal()
	}
	m.joinedAt, m.ttl = now, ttl
	if generation >= m.heard && generation == s.generation {
		s.letGo(name)
	}
	m.heard = s.generation
	return store.Assignment{Generation: s.generation, Partitions: s.ownedBy(name)}
}

// Leave takes the member out of the group.
func (s *State) Leave(now time.Time, name string) {
	s.expire(now)
	if s.members[name] != nil {
		s.remove(name)
	}
}

// Reassign gives every partition to some other member at once, without asking.
func (s *State) Reassign(now time.Time, shift int) {
	s.expire(now)
	names := s.names()
	if len(names) == 0 {
		return
	}
	s.generation++
	for p := range s.partitions {
		s.owner[uint32(p)] = names[(p+shift)%len(names)]
	}
	for _, m := range s.members {
		m.releases = make(map[uint32]bool)
	}
}

func (s *State) names() []string { return slices.Sorted(maps.Keys(s.members)) }

func (s *State) ownedBy(name string) []uint32 {
	var out []uint32
	for p, owner := range s.owner {
		if owner == name && !s.members[name].releases[p] {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// expire removes the members that have been silent for too long.
func (s *State) expire(now time.Time) {
	for _, name := range s.names() {
		m := s.members[name]
		if now.Sub(m.joinedAt) > m.ttl {
			s.remove(name)
		}
	}
}

func (s *State) remove(name string) {
	delete(s.members, name)
	for p, owner := range s.owner {
		if owner == name {
			delete(s.owner, p)
		}
	}
	s.deal()
}

// deal shares the partitions out evenly. One that has to move is no longer
// listed for its owner, and passes on when that has joined again.
func (s *State) deal() {
	s.generation++
	names := s.names()
	if len(names) == 0 {
		return
	}
	for p := range s.partitions {
		n := uint32(p)
		want := names[p%len(names)]
		owner, taken := s.owner[n]
		switch {
		case !taken:
			s.owner[n] = want
		case owner != want:
			s.members[owner].releases[n] = true
		default:
			delete(s.members[owner].releases, n)
		}
	}
}

// letGo passes on the partitions that the member was no longer listed with.
func (s *State) letGo(name string) {
	m := s.members[name]
	if len(m.releases) == 0 {
		return
	}
	names := s.names()
	for p := range m.releases {
		s.owner[p] = names[int(p)%len(names)]
	}
	m.releases = make(map[uint32]bool)
	s.generation++
}

// Fence sets the epoch of a partition.
func (s *State) Fence(partition uint32, epoch uint64) error {
	p := s.partitions[partition]
	if epoch < p.epoch {
		return store.ErrFenced
	}
	if epoch > p.epoch {
		p.epoch, p.number = epoch, 0
		p.first = make(map[uint64]bool)
	}
	return nil
}

// Append adds records to a partition.
func (s *State) Append(n uint32, epoch, number uint64, records []durable.Record) error {
	p := s.partitions[n]
	switch {
	case epoch < p.epoch:
		return store.ErrFenced
	case epoch > p.epoch:
		p.epoch, p.number = epoch, number-1
		p.first = make(map[uint64]bool)
	case p.first[number]:
		return nil
	case number != p.number+1:
		return &store.SequenceError{Wanted: p.number + 1}
	}
	p.number = number
	p.first[number] = true
	if number > rememberedAnswers {
		delete(p.first, number-rememberedAnswers)
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		} else {
			p.newest[r.Key] = r.Value
		}
	}
	return nil
}

// Newest returns the newest record of each key, in the order of the keys.
func (s *State) Newest(partition uint32) []durable.Record {
	p := s.partitions[partition]
	out := make([]durable.Record, 0, len(p.newest))
	for key, value := range p.newest {
		out = append(out, durable.Record{Key: key, Value: value})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Key < out[k].Key })
	return out
}

// Register makes a process known.
func (s *State) Register(m store.Member) { s.registered[m.Address] = m }

// Registered returns the known processes, in the order of their addresses.
func (s *State) Registered() []store.Member {
	var out []store.Member
	for _, address := range slices.Sorted(maps.Keys(s.registered)) {
		out = append(out, s.registered[address])
	}
	return out
}
