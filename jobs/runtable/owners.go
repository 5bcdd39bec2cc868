package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// owner is a connected coordinator.
type owner struct {
	member       string        // ID of its process
	connNumber   uint64        // rises with each connection to this process
	queryPending bool          // a query about best-effort runs is to be answered once the table is complete
	queries      []wire.RunRef // the runs that the query names
	heartbeatSeq uint64        // of the newest heartbeat
	startSeq     uint64        // of the newest StartRuns
	seen         int64         // Stamp of the newest status that it had handled when it sent that StartRuns
	stamp        int64         // of the newest status that it was sent
	fenced       []uint32      // partitions that it claimed and that another coordinator owns
	dirty        bool          // a status is due
	// identityStamp is the Stamp of the status in which it was sent the identity in force; 0 before that.
	identityStamp int64
}

// knowsIdentity returns whether the coordinator had handled the identity in force when it decided on its
// newest orders.
func (o *owner) knowsIdentity() bool { return o.identityStamp != 0 && o.seen >= o.identityStamp }

// OwnerUp adds a connection of a coordinator. conn names the connection and must be unique to it;
// member is the ID of the coordinator's process.
func (t *Table) OwnerUp(_ time.Time, conn, member string) {
	t.ownerConns++
	o := &owner{member: member, connNumber: t.ownerConns}
	t.owners[conn] = o
	t.queueStatus(conn, o)
}

// dropEarlierConns ignores from now on the earlier connections of a coordinator that has sent a
// heartbeat on a later one. The coordinator has given up the earlier ones and written off the
// runs that it ordered there, but its old messages may still arrive when a network partition
// heals. A connection on which it has sent anything was accepted here before it opened the next
// one, since it first waits for a status.
func (t *Table) dropEarlierConns(current *owner) {
	for conn, o := range t.owners {
		if o.member == current.member && o.connNumber < current.connNumber {
			delete(t.owners, conn)
			t.room.RemoveOwner(conn)
		}
	}
}

// memberLease returns the lease of a coordinator on the runs of its best-effort jobs, and makes
// the connection, the latest on which the coordinator was active, its owner.
func (t *Table) memberLease(conn, member string) *ownerLease {
	key := leaseKey{member: member}
	l := t.leases[key]
	if l == nil {
		l = &ownerLease{reported: true, confirmed: true}
		t.leases[key] = l
	}
	l.conn = conn
	return l
}

// OwnerDown removes a lost connection. The leases of its owner stay until they expire.
func (t *Table) OwnerDown(_ time.Time, conn string) {
	delete(t.owners, conn)
	t.room.RemoveOwner(conn)
}

// Heartbeat renews a coordinator's leases.
func (t *Table) Heartbeat(now time.Time, conn string, m *wire.OwnerHeartbeat) {
	t.expireLeases(now)
	o := t.owners[conn]
	if o == nil {
		return
	}
	t.dropEarlierConns(o)
	t.applyOwnerEvacuations(now, m.Evacuations)
	o.heartbeatSeq = m.Seq
	t.queueStatus(conn, o)
	t.extendOwnerLease(t.memberLease(conn, o.member), m.Echo, t.cfg.BestEffortLease)
	for _, p := range m.Partitions {
		if !t.renewPartition(conn, p, m) {
			o.fenced = append(o.fenced, p.Partition)
		}
	}
}

// reportPartition sends the owner all that is known of the partition, once per epoch and
// connection, as soon as the table is complete and the owner is confirmed. An owner that has been
// superseded would otherwise have the worker forget the ends of its successor's runs.
func (t *Table) reportPartition(key leaseKey, l *ownerLease) {
	if l.reported || !l.confirmed || t.lapsing || !t.synced || t.owners[l.conn] == nil {
		return
	}
	if !t.complete {
		t.reportKnownEnds(key, l)
		return
	}
	l.reported = true
	m := &wire.PartitionRuns{Partition: key.partition, Epoch: l.epoch, StartSeq: t.owners[l.conn].startSeq}
	for _, ref := range t.sortedRefs() {
		if t.runs[ref].lease == key {
			m.Running = append(m.Running, ref)
		}
	}
	for _, e := range ordered.Values(t.ends) {
		if e.lease == key && !e.stored {
			m.Ended = append(m.Ended, e.report)
		}
	}
	m.Ended = append(m.Ended, t.crashedUnder(key)...)
	t.send(l.conn, m)
}

// reportKnownEnds sends the owner the ends that are known before the table is complete, and later ones
// as they are listed. Further ends are listed only once these are acknowledged.
func (t *Table) reportKnownEnds(key leaseKey, l *ownerLease) {
	if l.endsReported {
		return
	}
	l.endsReported = true
	for _, e := range ordered.Values(t.ends) {
		if e.lease == key && !e.stored {
			t.sendEnd(l.conn, e.report)
		}
	}
}

// reportAll sends the reports and answers that were waiting for the table to be complete.
func (t *Table) reportAll(now time.Time) {
	for _, key := range ordered.KeysFunc(t.leases, compareLeaseKeys) {
		t.reportPartition(key, t.leases[key])
	}
	for _, conn := range ordered.Keys(t.owners) {
		t.answerQueries(now, conn)
	}
}

// SetNeeds handles a coordinator's report of the needs of adopted runs.
func (t *Table) SetNeeds(_ time.Time, conn string, m *wire.RunNeeds) {
	if t.owners[conn] == nil {
		return
	}
	for _, n := range m.Runs {
		r := t.runs[n.Ref]
		if r == nil || !r.needUnknown {
			continue
		}
		r.order.Need = n.Need
		r.needUnknown = false
		t.queueStatuses()
	}
}

// QueryRuns handles a coordinator's query about best-effort runs that it ordered on an earlier
// connection.
func (t *Table) QueryRuns(now time.Time, conn string, m *wire.RunsQuery) {
	t.expireLeases(now)
	o := t.owners[conn]
	if o == nil {
		return
	}
	o.queryPending = true
	o.queries = append(o.queries, m.Runs...)
	t.answerQueries(now, conn)
}

// answerQueries reports to a coordinator the state of the runs that its query names, once the table
// is complete. It becomes an owner of those that are here. Its other runs are stopped, since the
// query names all that it still wants.
func (t *Table) answerQueries(now time.Time, conn string) {
	o := t.owners[conn]
	if !o.queryPending || t.lapsing || !t.synced {
		return
	}
	t.claimQueried(o)
	if !t.complete {
		return
	}
	o.queryPending = false
	t.stopUnqueried(now, o)
	m := &wire.PartitionRuns{Partition: wire.BestEffortRuns}
	for _, ref := range o.queries {
		if r := t.runs[ref]; r != nil {
			m.Running = append(m.Running, ref)
		} else if e, ok := t.recentEnds[ref]; ok {
			m.Ended = append(m.Ended, e.report)
		}
	}
	o.queries = nil
	t.send(conn, m)
}

// claimQueried makes the coordinator an owner of the runs that its query names.
func (t *Table) claimQueried(o *owner) {
	for _, ref := range o.queries {
		if r := t.runs[ref]; r != nil {
			r.addOwner(leaseKey{member: o.member})
		}
	}
}

// stopUnqueried stops the coordinator's best-effort runs that its query does not name. None of
// them was ordered after the query, since orders arrive on the same connection.
func (t *Table) stopUnqueried(now time.Time, o *owner) {
	key := leaseKey{member: o.member}
	unqueried := func(r *run) bool { return r.heldBy(key) && !slices.Contains(o.queries, r.order.Ref) }
	for _, ref := range t.refsWhere(unqueried) {
		t.stopRun(now, t.runs[ref])
	}
}
