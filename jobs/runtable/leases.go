package runtable

import (
	"cmp"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// leaseKey names an owner's lease: on the runs of one partition, or on those of
// the best-effort jobs of one coordinator process.
type leaseKey struct {
	partition uint32
	member    string // the coordinator's process; empty for a partition
}

func compareLeaseKeys(a, b leaseKey) int {
	return cmp.Or(cmp.Compare(a.partition, b.partition), cmp.Compare(a.member, b.member))
}

// unclaimed stands for the coordinator of best-effort runs that none has asked
// about yet.
const unclaimed = "(unclaimed)"

// ownerLease is a coordinator's lease on runs here.
type ownerLease struct {
	epoch    uint64 // fencing epoch of the partition's owner
	owner    string // connection of the owner that was heard of last
	expires  time.Time
	reported bool // the owner has been sent all that is known under the lease
	// confirmed says that the store has told the owner, since this process began, that the
	// partition is its own.
	confirmed bool
	// stoppedAt is when its runs were told to stop, since the lease is over; zero
	// while it is not.
	stoppedAt time.Time
}

// leaseOf returns the lease under which an order runs.
func (t *Table) leaseOf(o *owner, order *wire.RunOrder) leaseKey {
	if order.BestEffort {
		return leaseKey{member: o.member}
	}
	return t.partitionLease(order.Ref)
}

// leaseOfListed returns the lease of a run that an earlier process started. That
// of a best-effort run is nobody's until its coordinator asks about it.
func (t *Table) leaseOfListed(ref wire.RunRef) leaseKey {
	if ref.BestEffort() {
		return leaseKey{member: unclaimed}
	}
	return t.partitionLease(ref)
}

func (t *Table) partitionLease(ref wire.RunRef) leaseKey {
	return leaseKey{partition: ref.Task.Job.Partition(t.cfg.Partitions)}
}

// awaitClaim gives the coordinators of unclaimed runs time to ask about them, once.
func (t *Table) awaitClaim(now time.Time, key leaseKey) {
	if !t.holds(key) {
		t.leases[key] = &ownerLease{expires: now.Add(t.cfg.AdoptionTimeout), reported: true, confirmed: true}
	}
}

// valid returns whether the coordinator may order the run: it has the lease,
// under the epoch in force, knows what was here before (which only a confirmed owner is
// told), and the lease lasts.
func (t *Table) valid(now time.Time, name string, order *wire.RunOrder, key leaseKey) bool {
	l := t.leases[key]
	return l != nil && l.owner == name && l.epoch == order.Epoch && l.reported && now.Before(l.expires)
}

// renewOwner makes a lease count from the stamp that the owner echoes: a
// heartbeat that was long on its way renews nothing.
func (t *Table) renewOwner(l *ownerLease, echo int64, lease time.Duration) {
	if echo <= 0 {
		return
	}
	expires := t.began.Add(time.Duration(echo)*time.Microsecond + lease)
	if expires.After(l.expires) {
		l.expires = expires
	}
}

// renewPartition renews a coordinator's lease on a partition. It returns false
// if another has a higher epoch.
func (t *Table) renewPartition(name string, p wire.PartitionEpoch, m *wire.OwnerHeartbeat) bool {
	key := leaseKey{partition: p.Partition}
	l := t.leases[key]
	if l == nil {
		l = &ownerLease{}
		t.leases[key] = l
	}
	if p.Epoch < l.epoch {
		return false
	}
	if p.Epoch > l.epoch || l.owner != name {
		l.epoch = p.Epoch
		l.owner = name
		l.reported = false
		l.confirmed = false
	}
	l.confirmed = l.confirmed || m.Confirmed
	t.renewOwner(l, m.Echo, t.cfg.OwnerLease)
	t.reportPartition(key, l)
	return true
}
