package runtable

import (
	"cmp"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// leaseKey identifies an owner's lease: on the runs of one partition, or on the runs of the
// best-effort jobs of one coordinator process.
type leaseKey struct {
	partition uint32
	member    string // ID of the coordinator process; empty for a partition
}

func compareLeaseKeys(a, b leaseKey) int {
	return cmp.Or(cmp.Compare(a.partition, b.partition), cmp.Compare(a.member, b.member))
}

// unclaimed is the member of the lease of adopted best-effort runs that no coordinator's query has
// named yet.
const unclaimed = "(unclaimed)"

// ownerLease is a coordinator's lease on runs here.
type ownerLease struct {
	epoch    uint64 // fencing epoch of the partition's owner
	conn     string // connection on which the owner was last active
	expires  time.Time
	reported bool // the owner has been sent all that is known under the lease
	// endsReported says that the owner has been sent the ends that are known, before the table is
	// complete.
	endsReported bool
	// confirmed says that the owner has reported, on a connection to this process, that the
	// store confirmed its ownership of the partition.
	confirmed bool
	// stoppedAt is when the runs were stopped because the lease had expired; zero while it has
	// not.
	stoppedAt time.Time
}

// knowsEnds returns whether the owner has been sent all ends under the lease that are known.
func (l *ownerLease) knowsEnds() bool { return l.reported || l.endsReported }

// leaseOf returns the key of the lease under which an order runs.
func (t *Table) leaseOf(o *owner, order *wire.RunOrder) leaseKey {
	if order.BestEffort {
		return leaseKey{member: o.member}
	}
	return t.partitionLease(order.Ref)
}

// leaseOfListed returns the key of the lease of a run that an earlier process started. A
// best-effort run is unclaimed until its coordinator's query names it.
func (t *Table) leaseOfListed(ref wire.RunRef) leaseKey {
	if ref.BestEffort() {
		return leaseKey{member: unclaimed}
	}
	return t.partitionLease(ref)
}

func (t *Table) partitionLease(ref wire.RunRef) leaseKey {
	return leaseKey{partition: ref.Task.Job.Partition(t.cfg.Partitions)}
}

// awaitClaim gives the coordinators of unclaimed runs Settings.AdoptionTimeout to query them, counted
// from when the first of the runs was adopted.
func (t *Table) awaitClaim(now time.Time, key leaseKey) {
	if !t.hasWorkUnder(key) {
		t.leases[key] = &ownerLease{expires: now.Add(t.cfg.AdoptionTimeout), reported: true, confirmed: true}
	}
}

// mayOrder returns whether the coordinator may order the run: it must hold the lease under the
// current epoch, the lease must not have expired, and the coordinator must have been sent what
// was here before. Only a confirmed owner is sent that.
func (t *Table) mayOrder(now time.Time, conn string, order *wire.RunOrder, key leaseKey) bool {
	l := t.leases[key]
	return l != nil && l.conn == conn && l.epoch == order.Epoch && l.reported && now.Before(l.expires)
}

// extendOwnerLease extends a lease so that it counts from the stamp that the owner echoes. A
// delayed heartbeat therefore extends nothing.
func (t *Table) extendOwnerLease(l *ownerLease, echo int64, lease time.Duration) {
	if echo <= 0 {
		return
	}
	expires := t.began.Add(time.Duration(echo)*time.Microsecond + lease)
	if expires.After(l.expires) {
		l.expires = expires
	}
}

// renewPartition renews a coordinator's lease on a partition. It returns false if another
// coordinator has a higher epoch.
func (t *Table) renewPartition(conn string, p wire.PartitionEpoch, m *wire.OwnerHeartbeat) bool {
	key := leaseKey{partition: p.Partition}
	l := t.leases[key]
	if l == nil {
		l = &ownerLease{}
		t.leases[key] = l
	}
	if p.Epoch < l.epoch {
		return false
	}
	if p.Epoch > l.epoch || l.conn != conn {
		l.epoch = p.Epoch
		l.conn = conn
		l.reported, l.endsReported = false, false
		l.confirmed = false
	}
	l.confirmed = l.confirmed || m.Confirmed
	t.extendOwnerLease(l, m.Echo, t.cfg.OwnerLease)
	t.reportPartition(key, l)
	if t.synced && !l.reported {
		t.send(conn, &wire.ReportPending{Partition: p.Partition, Epoch: p.Epoch})
	}
	return true
}
