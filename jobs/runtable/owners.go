package runtable

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// owner is a connected coordinator.
type owner struct {
	member       string        // its process
	number       uint64        // rises with each connection that is made to this process
	asks         bool          // about its best-effort runs, to be answered once all is known
	queries      []wire.RunRef // those that it names
	heartbeatSeq uint64        // of the newest heartbeat
	startSeq     uint64        // of the newest StartRuns
	fenced       []uint32      // partitions that it claimed and another has
	dirty        bool          // is to get a status
	identified   bool          // has had the identity in force
}

// OwnerUp tells the table of a connection to a coordinator. name is used for no
// other connection; member names the coordinator's process.
func (t *Table) OwnerUp(_ time.Time, name, member string) {
	t.ownersUp++
	o := &owner{member: member, number: t.ownersUp}
	t.owners[name] = o
	t.touch(name, o)
}

// retireEarlier takes nothing more over the earlier connections of a coordinator that is
// heard over a later one. It had given them up before: what it sent there may still arrive
// when a cut heals, and it has long written off the runs that it ordered so. A connection
// over which it has sent anything came up here before it made the next, since it first
// waits for a status.
func (t *Table) retireEarlier(heard *owner) {
	for name, o := range t.owners {
		if o.member == heard.member && o.number < heard.number {
			delete(t.owners, name)
			t.room.RemoveOwner(name)
		}
	}
}

// memberLease returns the lease of a coordinator on the runs of its best-effort jobs, and
// makes the connection its owner: the latest over which the coordinator was heard.
func (t *Table) memberLease(name, member string) *ownerLease {
	key := leaseKey{member: member}
	l := t.leases[key]
	if l == nil {
		l = &ownerLease{reported: true, confirmed: true}
		t.leases[key] = l
	}
	l.owner = name
	return l
}

// OwnerDown tells the table that the connection is lost. The owner's leases
// run on.
func (t *Table) OwnerDown(_ time.Time, name string) {
	delete(t.owners, name)
	t.room.RemoveOwner(name)
}

// Heartbeat renews a coordinator's leases.
func (t *Table) Heartbeat(now time.Time, name string, m *wire.OwnerHeartbeat) {
	t.expireLeases(now)
	o := t.owners[name]
	if o == nil {
		return
	}
	t.retireEarlier(o)
	t.hearOwner(now, m.Evacuations)
	o.heartbeatSeq = m.Seq
	t.touch(name, o)
	t.renewOwner(t.memberLease(name, o.member), m.Echo, t.cfg.BestEffortLease)
	for _, p := range m.Partitions {
		if !t.renewPartition(name, p, m) {
			o.fenced = append(o.fenced, p.Partition)
		}
	}
}

// reportPartition sends all that is known of the partition, once for each epoch
// and connection, as soon as it is known for certain and the owner is confirmed: one that
// is owner no more would have us forget the ends of its successor's runs.
func (t *Table) reportPartition(key leaseKey, l *ownerLease) {
	if l.reported || !l.confirmed || t.lapsing || !t.synced || t.owners[l.owner] == nil {
		return
	}
	l.reported = true
	m := &wire.PartitionRuns{Partition: key.partition, Epoch: l.epoch, StartSeq: t.owners[l.owner].startSeq}
	for _, ref := range t.refs() {
		if t.runs[ref].lease == key {
			m.Running = append(m.Running, ref)
		}
	}
	for _, e := range ordered.Values(t.ends) {
		if e.lease == key && !e.stored {
			m.Ended = append(m.Ended, e.report)
		}
	}
	m.Ended = append(m.Ended, t.crashedOf(key)...)
	t.send(l.owner, m)
}

// reportAll sends the reports and answers that had to wait.
func (t *Table) reportAll(now time.Time) {
	for _, key := range ordered.KeysFunc(t.leases, compareLeaseKeys) {
		t.reportPartition(key, t.leases[key])
	}
	for _, name := range ordered.Keys(t.owners) {
		t.answerQueries(now, name)
	}
}

// SetNeeds takes a coordinator's word of what runs here take.
func (t *Table) SetNeeds(_ time.Time, name string, m *wire.RunNeeds) {
	if t.owners[name] == nil {
		return
	}
	for _, n := range m.Runs {
		r := t.runs[n.Ref]
		if r == nil || !r.needUnknown {
			continue
		}
		r.order.Need = n.Need
		r.needUnknown = false
		t.touchOwners()
	}
}

// QueryRuns takes a coordinator's question about best-effort runs that it ordered
// over an earlier connection.
func (t *Table) QueryRuns(now time.Time, name string, m *wire.RunsQuery) {
	t.expireLeases(now)
	o := t.owners[name]
	if o == nil {
		return
	}
	o.asks = true
	o.queries = append(o.queries, m.Runs...)
	t.answerQueries(now, name)
}

// answerQueries tells a coordinator what became of the runs that it asks about.
// Those that are here are its own from now on. What else it had ordered is stopped: it
// names all that it still wants.
func (t *Table) answerQueries(now time.Time, name string) {
	o := t.owners[name]
	if !o.asks || t.lapsing || !t.synced {
		return
	}
	o.asks = false
	t.stopUnnamed(now, o)
	m := &wire.PartitionRuns{Partition: wire.BestEffortRuns}
	for _, ref := range o.queries {
		if r := t.runs[ref]; r != nil {
			r.share(leaseKey{member: o.member})
			m.Running = append(m.Running, ref)
		} else if e, ok := t.recent[ref]; ok {
			m.Ended = append(m.Ended, e.report)
		}
	}
	o.queries = nil
	t.send(name, m)
}

// stopUnnamed stops the coordinator's best-effort runs about which it does not ask. None is
// newer than its question: orders are taken over the same connection.
func (t *Table) stopUnnamed(now time.Time, o *owner) {
	key := leaseKey{member: o.member}
	unnamed := func(r *run) bool { return r.under(key) && !slices.Contains(o.queries, r.order.Ref) }
	for _, ref := range t.refsWhere(unnamed) {
		t.stopRun(now, t.runs[ref])
	}
}
