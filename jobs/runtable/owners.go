package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// OwnerUp tells the table of a connection to a coordinator, under a name that
// is used for no other connection.
// member names the coordinator's process.
func (t *Table) OwnerUp(_ time.Time, name, member string) {
	t.owners[name] = &owner{member: member, dirty: true}
	key := scope{member: member}
	p := t.scopes[key]
	if p == nil {
		p = &ownership{told: true}
		t.scopes[key] = p
	}
	p.owner = name
}

// OwnerDown tells the table that the connection is lost. The owner's leases
// run on.
func (t *Table) OwnerDown(_ time.Time, name string) {
	delete(t.owners, name)
}

// Heartbeat renews an owner's leases.
func (t *Table) Heartbeat(now time.Time, name string, m *wire.OwnerHeartbeat) {
	t.expire(now)
	o := t.owners[name]
	if o == nil {
		return
	}
	o.heartbeatSeq = m.Seq
	o.dirty = true
	t.renew(t.scopes[scope{member: o.member}], m.Echo, t.cfg.BestEffortLease)
	for _, claim := range m.Partitions {
		if !t.claim(name, claim, m.Echo) {
			o.fenced = append(o.fenced, claim.Partition)
		}
	}
}

// claim returns whether the owner may have the partition.
func (t *Table) claim(name string, c wire.PartitionEpoch, echo int64) bool {
	key := scope{partition: c.Partition}
	p := t.scopes[key]
	if p == nil {
		p = &ownership{}
		t.scopes[key] = p
	}
	if c.Epoch < p.epoch {
		return false
	}
	if c.Epoch > p.epoch || p.owner != name {
		p.epoch = c.Epoch
		p.owner = name
		p.told = false
	}
	t.renew(p, echo, t.cfg.OwnerLease)
	t.tellPartition(key, p)
	return true
}

// renew makes the lease count from the stamp that the owner echoes.
func (t *Table) renew(p *ownership, echo int64, lease time.Duration) {
	if echo <= 0 {
		return
	}
	expires := t.epoch.Add(time.Duration(echo)*time.Microsecond + lease)
	if expires.After(p.expires) {
		p.expires = expires
	}
}

// tellPartition sends all that is known of the partition, once for each epoch
// and connection, as soon as it is known for certain.
func (t *Table) tellPartition(key scope, p *ownership) {
	if p.told || t.lapsing || !t.firstHold || t.owners[p.owner] == nil {
		return
	}
	p.told = true
	m := &wire.PartitionRuns{Partition: key.partition, Epoch: p.epoch, StartSeq: t.owners[p.owner].startSeq}
	for _, ref := range t.refs() {
		if t.runs[ref].scope == key {
			m.Running = append(m.Running, ref)
		}
	}
	for _, e := range ordered.Values(t.ends) {
		if e.scope == key && !e.kept {
			m.Ended = append(m.Ended, e.told)
		}
	}
	t.send(p.owner, m)
}

// tellAll sends what could not be told before.
func (t *Table) tellAll() {
	for _, key := range ordered.KeysFunc(t.scopes, compareScopes) {
		p := t.scopes[key]
		t.tellPartition(key, p)
	}
	for _, name := range ordered.Keys(t.owners) {
		t.answerClaims(name)
	}
}

// Claim takes a coordinator's question about best-effort runs that it ordered
// over an earlier connection.
func (t *Table) Claim(now time.Time, name string, m *wire.ClaimRuns) {
	t.expire(now)
	o := t.owners[name]
	if o == nil {
		return
	}
	o.claims = append(o.claims, m.Runs...)
	t.answerClaims(name)
}

func (t *Table) answerClaims(name string) {
	o := t.owners[name]
	if len(o.claims) == 0 || t.lapsing || !t.firstHold {
		return
	}
	m := &wire.PartitionRuns{Partition: wire.BestEffortRuns}
	for _, ref := range o.claims {
		if r := t.runs[ref]; r != nil {
			r.scope = scope{member: o.member}
			m.Running = append(m.Running, ref)
		} else if e, ok := t.recent[ref]; ok {
			m.Ended = append(m.Ended, e.told)
		}
	}
	o.claims = nil
	t.send(name, m)
}

// scopeOf returns the scope of an order.
func (t *Table) scopeOf(o *owner, order *wire.RunOrder) scope {
	if order.BestEffort {
		return scope{member: o.member}
	}
	return t.partitionOf(order.Ref)
}

// firstScope returns the scope of a run that an earlier process started. That
// of a best-effort run is nobody's until its coordinator claims it.
func (t *Table) firstScope(ref wire.RunRef) scope {
	if ref.BestEffort() {
		return scope{member: unclaimed}
	}
	return t.partitionOf(ref)
}

// unclaimed stands for the coordinator of best-effort runs that nobody claims.
const unclaimed = "(unclaimed)"

func (t *Table) partitionOf(ref wire.RunRef) scope {
	return scope{partition: ref.Task.Job.Partition(t.cfg.Partitions)}
}

// valid returns the ownership under which the order may be carried out.
func (t *Table) valid(now time.Time, name string, order *wire.RunOrder, key scope) bool {
	p := t.scopes[key]
	return p != nil && p.owner == name && p.epoch == order.Epoch && p.told && now.Before(p.expires)
}

// Start takes orders of an owner.
func (t *Table) Start(now time.Time, name string, m *wire.StartRuns) {
	t.expire(now)
	o := t.owners[name]
	if o == nil {
		return
	}
	o.startSeq = m.Seq
	o.dirty = true
	for i := range m.Runs {
		t.take(now, name, &m.Runs[i])
	}
}

func (t *Table) take(now time.Time, name string, order *wire.RunOrder) {
	key := t.scopeOf(t.owners[name], order)
	if r := t.runs[order.Ref]; r != nil {
		// Sent again by another owner: it is the same run, and now the newer's.
		r.scope = key
		return
	}
	reason := ""
	switch {
	case !t.valid(now, name, order, key):
		reason = "no_lease"
	case !t.canStart():
		reason = "not_ready"
	case len(t.waiting) >= t.cfg.MaxWaiting, !order.MayWait && !order.Need.Fits(t.free()):
		reason = "busy"
	}
	if reason != "" {
		t.noteUsual("run_refused", order.Ref, reason)
		t.tell(name, wire.RunEnd{Ref: order.Ref, How: uint8(wire.EndNotRun), Reason: reason})
		return
	}
	r := &run{order: *order, scope: key, due: now.Add(time.Duration(order.DueMS) * time.Millisecond)}
	t.runs[order.Ref] = r
	t.waiting = append(t.waiting, r)
}

// Stop takes orders of an owner to stop runs.
func (t *Table) Stop(now time.Time, name string, m *wire.StopRuns) {
	t.expire(now)
	for _, ref := range m.Runs {
		r := t.runs[ref]
		if r == nil {
			continue
		}
		if p := t.scopes[r.scope]; p != nil && p.owner == name {
			t.stopRun(now, r)
		}
	}
}

func (t *Table) stopRun(now time.Time, r *run) {
	switch r.state {
	case runWaiting:
		t.dropWaiting(r)
		delete(t.runs, r.order.Ref)
		t.endRun(now, r, wire.EndNotRun, "stopped")
	case runStarting:
		r.stop = true
	case runRunning:
		t.sendStop(r)
	}
}

func (t *Table) sendStop(r *run) {
	r.state = runStopping
	t.effects.Stops = append(t.effects.Stops, StopCall{Instance: t.identity.Instance, Ref: r.order.Ref, Token: t.token})
}

func (t *Table) dropWaiting(r *run) {
	for i, w := range t.waiting {
		if w == r {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return
		}
	}
}

// Kept tells the table of ends that the backend server may forget.
func (t *Table) Kept(_ time.Time, _ string, m *wire.EndsKept) {
	kept := make(map[wire.RunRef]bool, len(m.Runs))
	for _, ref := range m.Runs {
		kept[ref] = true
	}
	for _, e := range t.ends {
		if kept[e.told.Ref] {
			e.kept = true
		}
	}
	t.forget()
}

// forget drops ends that are kept up to the first that is not.
func (t *Table) forget() {
	before := t.acked
	for {
		e := t.ends[t.acked+1]
		if e == nil || !e.kept {
			break
		}
		t.acked++
		delete(t.ends, t.acked)
	}
	if t.acked != before {
		t.effects.Hold = true
	}
}
