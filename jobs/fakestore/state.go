// Package fakestore is a stand-in for the log service that stores the state of
// lichenfall: partitions with fenced and numbered appends that keep the newest record of
// each key, and a group among whose members the partitions are divided. State is the
// service itself, without clock and I/O; Store adds the clock.
// Tests can make it refuse calls, hide the registered processes and revoke partitions. A
// Client is the Store as one process reaches it, with calls and answers that arrive late, and
// implements store.Store.
package fakestore

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/store"
)

// rememberedAppends is for how many of its last appends a partition answers a repeated
// call with success, as the users' store does.
const rememberedAppends = 5

// State is the log service without its connections: each method carries out a call that
// arrives at the time given. It is not safe for concurrent use.
type State struct {
	partitions []*partition
	members    map[string]*member
	generation uint64
	owner      map[uint32]string       // the member that each partition is assigned to
	registered map[string]store.Member // by address
}

// partition is the log of one partition and what it accepts next.
type partition struct {
	epoch      uint64
	lastNumber uint64            // of the last append under the epoch
	applied    map[uint64]bool   // numbers under the epoch whose repeated appends succeed without effect
	records    map[string][]byte // the newest of each key
}

// member is a member of the group.
type member struct {
	renewedAt  time.Time // when its last call of Join arrived
	ttl        time.Duration
	generation uint64          // in the answer to its last call of Join
	releasing  map[uint32]bool // assigned to it, but left out of its list until it joins again
}

// NewState returns an empty store with the number of partitions given.
func NewState(partitions uint32) *State {
	s := &State{
		members:    make(map[string]*member),
		owner:      make(map[uint32]string),
		registered: make(map[string]store.Member),
	}
	for range partitions {
		s.partitions = append(s.partitions, &partition{records: make(map[string][]byte), applied: make(map[uint64]bool)})
	}
	return s
}

// Join adds the member to the group, or renews its membership, for the time to live from now.
// It returns the partitions that the member owns. The generation given is that of the last
// answer that the member has received; with the current one it acknowledges that it has given
// up the partitions that were left out of that answer.
func (s *State) Join(now time.Time, name string, generation uint64, ttl time.Duration) store.Assignment {
	s.expire(now)
	m := s.members[name]
	if m == nil {
		m = &member{releasing: make(map[uint32]bool)}
		s.members[name] = m
		s.assign()
	}
	m.renewedAt, m.ttl = now, ttl
	if generation >= m.generation && generation == s.generation {
		s.passOn(name)
	}
	m.generation = s.generation
	return store.Assignment{Generation: s.generation, Partitions: s.ownedBy(name)}
}

// Leave removes the member from the group, if it is in it, and reassigns its partitions.
func (s *State) Leave(now time.Time, name string) {
	s.expire(now)
	if s.members[name] != nil {
		s.remove(name)
	}
}

// Reassign revokes all partitions and assigns each anew at once, without the consent of its
// owner: to the member at the partition's number plus shift in the order of the names, modulo
// their number. It does nothing while the group is empty.
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
		m.releasing = make(map[uint32]bool)
	}
}

// names returns the names of all members, in their order.
func (s *State) names() []string { return slices.Sorted(maps.Keys(s.members)) }

// ownedBy returns the partitions that are listed for the member, in their order.
func (s *State) ownedBy(name string) []uint32 {
	var out []uint32
	for p, owner := range s.owner {
		if owner == name && !s.members[name].releasing[p] {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// expire removes the members whose time to live has passed since their last call of Join.
func (s *State) expire(now time.Time) {
	for _, name := range s.names() {
		m := s.members[name]
		if now.Sub(m.renewedAt) > m.ttl {
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
	s.assign()
}

// assign divides the partitions evenly among the members. A partition that has to move is left
// out of its owner's list, and moves once the owner has acknowledged that list by joining again.
func (s *State) assign() {
	s.generation++
	names := s.names()
	if len(names) == 0 {
		return
	}
	for p := range s.partitions {
		n := uint32(p)
		target := names[p%len(names)]
		owner, assigned := s.owner[n]
		switch {
		case !assigned:
			s.owner[n] = target
		case owner != target:
			s.members[owner].releasing[n] = true
		default:
			delete(s.members[owner].releasing, n)
		}
	}
}

// passOn assigns the partitions that the member has given up to the members that assign chose.
func (s *State) passOn(name string) {
	m := s.members[name]
	if len(m.releasing) == 0 {
		return
	}
	names := s.names()
	for p := range m.releasing {
		s.owner[p] = names[int(p)%len(names)]
	}
	m.releasing = make(map[uint32]bool)
	s.generation++
}

// Fence raises the epoch of a partition and adds the record of the term; from then on, appends under
// lower epochs fail. It returns store.ErrFenced if the epoch is already higher.
func (s *State) Fence(partition uint32, epoch uint64, term durable.Record) error {
	return s.Append(partition, epoch, store.FenceNumber, []durable.Record{term})
}

// Append adds records to a partition; one without a value removes its key. Numbers count the
// appends under an epoch without gaps, except that the first append under a higher epoch may
// have any number. A repeated number succeeds without effect while it is remembered. It returns
// store.ErrFenced under a lower epoch, and a *store.SequenceError if the number is not the next.
func (s *State) Append(n uint32, epoch, number uint64, records []durable.Record) error {
	p := s.partitions[n]
	switch {
	case epoch < p.epoch:
		return store.ErrFenced
	case epoch > p.epoch:
		p.epoch, p.lastNumber = epoch, number-1
		p.applied = make(map[uint64]bool)
	case p.applied[number]:
		return nil
	case number != p.lastNumber+1:
		return &store.SequenceError{Wanted: p.lastNumber + 1}
	}
	p.lastNumber = number
	p.applied[number] = true
	if number > rememberedAppends {
		delete(p.applied, number-rememberedAppends)
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(p.records, r.Key)
		} else {
			p.records[r.Key] = r.Value
		}
	}
	return nil
}

// Newest returns the newest record of each key of the partition, in the order of the keys.
func (s *State) Newest(partition uint32) []durable.Record {
	p := s.partitions[partition]
	out := make([]durable.Record, 0, len(p.records))
	for key, value := range p.records {
		out = append(out, durable.Record{Key: key, Value: value})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Key < out[k].Key })
	return out
}

// Register stores the record of a process, in place of an earlier one at its address.
func (s *State) Register(m store.Member) { s.registered[m.Address] = m }

// Registered returns the records of all processes, in the order of their addresses.
func (s *State) Registered() []store.Member {
	var out []store.Member
	for _, address := range slices.Sorted(maps.Keys(s.registered)) {
		out = append(out, s.registered[address])
	}
	return out
}
