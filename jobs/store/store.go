// Package store says what the product needs of the log service that keeps its
// state: partitions with fenced appends and the newest record of each key, a
// group that deals the partitions out, and what operators put in force.
// It does no I/O itself; adapters implement Store.
package store

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
)

// The ways in which a call fails. Any other error means that the call may or
// may not have been carried out, now or later.
var (
	// ErrRefused means that nothing was done and nothing will be.
	ErrRefused = errs.New("the store refused the call")
	// ErrFenced means that a higher epoch has been seen; nothing was done.
	ErrFenced = errs.New("a higher epoch has been seen")
)

// SequenceError refuses an append whose number does not follow the last.
type SequenceError struct {
	Wanted uint64
}

// Error names the number that the store wants.
func (e *SequenceError) Error() string {
	return errs.New("the store wants number %d", e.Wanted).Error()
}

// Assignment is the store's answer to a member of the group.
type Assignment struct {
	Generation uint64 // rises with each change
	Partitions []uint32
}

// Role says what a registered process does.
type Role string

// The roles of processes.
const (
	RoleCoordinator Role = "coordinator"
	RoleWorker      Role = "worker"
)

// Member is a registered process.
type Member struct {
	Address    string // where it listens for its peers
	Role       Role
	DataCentre string
	Backend    *Backend // of a worker, once it is known
}

// MemberAt returns the member of the address.
func MemberAt(members []Member, address string) (m Member, found bool) {
	for _, m := range members {
		if m.Address == address {
			return m, true
		}
	}
	return Member{}, false
}

// Equal returns whether the two say the same.
func (m *Member) Equal(o *Member) bool {
	if m.Address != o.Address || m.Role != o.Role || m.DataCentre != o.DataCentre || (m.Backend == nil) != (o.Backend == nil) {
		return false
	}
	return m.Backend == nil || m.Backend.equal(o.Backend)
}

// Backend is what a worker last knew of its backend server, for the next
// process at its address.
type Backend struct {
	Instance string // with Born, the life
	Born     int64  `json:",omitempty"` // milliseconds since 1970; 0 where backend servers do not tell
	Service  string
	Ready    bool
	Capacity durable.Resources
	Labels   []string
}

func (b *Backend) equal(o *Backend) bool {
	return b.Instance == o.Instance && b.Born == o.Born && b.Service == o.Service && b.Ready == o.Ready &&
		b.Capacity == o.Capacity && slices.Equal(b.Labels, o.Labels)
}

// Store is the log service as one process uses it. Its methods may be called
// by several goroutines at once.
type Store interface {
	// Join stays in the group of owners for the time to live, counted from the
	// arrival of the call.
	Join(ctx context.Context, member string, generation uint64, ttl time.Duration) (Assignment, error)
	// Leave gives all partitions up at once.
	Leave(ctx context.Context, member string) error
	// Fence makes the store refuse appends to the partition under lower epochs.
	Fence(ctx context.Context, partition uint32, epoch uint64) error
	// Append adds the records, all or none, once for each epoch and number.
	Append(ctx context.Context, partition uint32, epoch, number uint64, records []durable.Record) error
	// NewestRecords returns the newest record of each key of the partition.
	NewestRecords(ctx context.Context, partition uint32) ([]durable.Record, error)
	// Register makes the process known to all.
	Register(ctx context.Context, m Member) error
	// WatchMembers calls f with the changes of the registered processes, first with
	// all of them, until ctx ends.
	WatchMembers(ctx context.Context, f func(joined []Member))
	// WatchOperators calls f with what operators have put in force: first with all that stands,
	// then after each reading that the store has answered, also if it brought nothing new,
	// until ctx ends. At the end of an outage pause is the time between two tries.
	WatchOperators(ctx context.Context, pause time.Duration, f func(routing.OperatorUpdate))
}
