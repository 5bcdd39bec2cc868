// Package store defines the interface of the log service that holds the state of jobs. The
// service has partitions with fenced appends, from which the newest record of each key can be
// read; a group whose members are assigned the partitions; the records of registered processes;
// and the records in which operators set the configuration and evacuations. The package does no
// I/O itself; adapters implement Store.
package store

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
)

// Errors of calls, besides SequenceError. After any other error the call may have been carried
// out, or may be carried out later.
var (
	// ErrRefused means that the call was not carried out and will not be.
	ErrRefused = errs.New("the store refused the call")
	// ErrFenced means that the store has seen a higher epoch, and did not carry out the call.
	ErrFenced = errs.New("the store has seen a higher epoch")
)

// SequenceError is returned for an append whose number does not follow that of the last one. The
// append was not carried out.
type SequenceError struct {
	Wanted uint64 // the number that the store expects next
}

// Error returns a text with the number that the store expects.
func (e *SequenceError) Error() string {
	return errs.New("the store expects append number %d", e.Wanted).Error()
}

// FenceNumber is the number of the append that Store.Fence makes under an epoch. Numbers rise by one from
// there.
const FenceNumber = 1

// Assignment is the store's answer to a member of the group of owners: the partitions that are
// assigned to it.
type Assignment struct {
	Generation uint64 // of the group; increases with each change of the assignment
	Partitions []uint32
}

// Role is the role of a registered process.
type Role string

// The roles of processes.
const (
	RoleCoordinator Role = "coordinator"
	RoleWorker      Role = "worker"
)

// Member is a registered process.
type Member struct {
	Address    string // where it listens for its peers; unique among the members
	Role       Role
	DataCentre string
	Backend    *Backend // the worker's backend server; nil if unknown, and for a coordinator
}

// MemberAt returns the member with the address; found is false if there is none.
func MemberAt(members []Member, address string) (m Member, found bool) {
	for _, m := range members {
		if m.Address == address {
			return m, true
		}
	}
	return Member{}, false
}

// Equal returns whether the two members are equal in all fields, including the backend server's.
func (m *Member) Equal(o *Member) bool {
	if m.Address != o.Address || m.Role != o.Role || m.DataCentre != o.DataCentre || (m.Backend == nil) != (o.Backend == nil) {
		return false
	}
	return m.Backend == nil || m.Backend.equal(o.Backend)
}

// Backend is the state of a backend server as its worker last registered it, for the next
// process at the worker's address.
type Backend struct {
	Instance string // identifies the incarnation, together with Born
	Born     int64  `json:",omitempty"` // when it started, in ms since 1970; 0 if it does not report that
	Service  string // the pool that it belongs to
	Ready    bool   // accepts tasks
	Capacity durable.Resources
	Labels   []string
}

func (b *Backend) equal(o *Backend) bool {
	return b.Instance == o.Instance && b.Born == o.Born && b.Service == o.Service && b.Ready == o.Ready &&
		b.Capacity == o.Capacity && slices.Equal(b.Labels, o.Labels)
}

// Store is the log service as one process uses it. Its methods may be called by several
// goroutines at the same time.
type Store interface {
	// Join joins the group of owners, or renews the membership, for the time to live from the
	// arrival of the call. The generation is that of the last Assignment, 0 before the first.
	Join(ctx context.Context, member string, generation uint64, ttl time.Duration) (Assignment, error)
	// Leave leaves the group of owners, which gives up all partitions at once.
	Leave(ctx context.Context, member string) error
	// Fence makes the store refuse appends to the partition under lower epochs, and adds the record of
	// the term as append number FenceNumber of the epoch.
	Fence(ctx context.Context, partition uint32, epoch uint64, term durable.Record) error
	// Append adds all of the records or none. Numbers count the appends to a partition under one
	// epoch, from FenceNumber on; a call with a number that was already carried out succeeds without effect.
	Append(ctx context.Context, partition uint32, epoch, number uint64, records []durable.Record) error
	// NewestRecords returns the newest record of each key of the partition.
	NewestRecords(ctx context.Context, partition uint32) ([]durable.Record, error)
	// Register stores the record of the process, in place of an earlier one at its address.
	Register(ctx context.Context, m Member) error
	// WatchMembers calls f with all registered processes, and then with those that are added or
	// changed, until ctx ends.
	WatchMembers(ctx context.Context, f func(changed []Member))
	// SyncMembers returns once the function that was given to WatchMembers has been called with all
	// processes that were registered when SyncMembers was called. It fails if WatchMembers was not
	// called before, or if the store does not answer.
	SyncMembers(ctx context.Context) error
	// WatchOperators calls f with the configuration and evacuations that operators have set:
	// first with all that are in force, then after each read that the store has answered, even
	// if nothing has changed, until ctx ends. pause is the time between a failed read and the
	// next; it may grow while reads go on failing.
	WatchOperators(ctx context.Context, pause time.Duration, f func(routing.OperatorUpdate))
}
