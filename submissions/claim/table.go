package claim

import (
	"container/list"
	"time"
)

// Verdict is the result of a claim or lookup.
type Verdict uint8

// The verdicts. Only Granted allows the claiming entry to start the submission.
const (
	// Unknown: the table cannot tell whether the ID was granted before, because
	// the ID is older than its records or carries no time.
	Unknown Verdict = iota
	// Granted: the ID was never granted before and will never be granted again.
	Granted
	// Held: the ID was granted before, to the owner named in the reply.
	Held
	// Mismatch: the ID was granted before, for a submission with other content.
	Mismatch
	// TooEarly: the time of the ID is further in the future than ClockBound.
	TooEarly
	// NotHolder: the holder is configured with another list of holders.
	NotHolder
	// Absent: the ID was not granted so far. It is returned for lookups only.
	Absent
)

var verdictNames = []string{"unknown", "granted", "held", "mismatch", "too_early", "not_holder", "absent"}

// String returns the name of the verdict as it is used in metric labels.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Verdicts returns all verdicts.
func Verdicts() []Verdict {
	return []Verdict{Unknown, Granted, Held, Mismatch, TooEarly, NotHolder, Absent}
}

// Limits holds the limits of a table.
type Limits struct {
	Entries int // grants in the table
	// Window is how long a grant is recorded, counted from the time of its ID.
	// An ID older than that is Unknown.
	Window time.Duration
	// ClockBound is the greatest difference between the clocks of two boxes up
	// to which no ID is granted twice. Processes check it when they connect.
	ClockBound time.Duration
}

// Owner identifies one incarnation of an entry's process.
type Owner struct {
	Address     string
	Incarnation string
}

// Request is a claim by an entry.
type Request struct {
	ID     string
	Digest string // of the submission's content
	Owner  Owner
	Seq    uint64 // sequence number of the claim, unique in the entry's incarnation
}

// Reply is the answer to a claim or lookup.
type Reply struct {
	Verdict Verdict
	Owner   Owner  // set when Granted, Held or Mismatch
	Seq     uint64 // Request.Seq of the granted claim, by which its owner recognises the claim
	Reason  string // set when Unknown
}

type grant struct {
	Request
	at time.Time // the time that the ID carries
}

// Table records the grants of one holder. It is not safe for concurrent use.
//
// The table never grants an ID whose time is before floor. An earlier process at
// the same address granted only IDs with times up to its own time plus
// ClockBound, and its clock differs from this one by ClockBound at most. So the
// initial floor, the start of this process plus twice ClockBound, is later
// than the time of any ID that the earlier process can have granted. When a
// grant is removed, floor rises past the time of its ID.
type Table struct {
	limits  Limits
	floor   time.Time                // the earliest time of an ID that can be granted
	byID    map[string]*list.Element // of grant
	order   *list.List               // in the order of granting
	evicted uint64
}

// New returns an empty table for a process that starts at now.
func New(now time.Time, l Limits) *Table {
	return &Table{
		limits: l,
		floor:  now.Add(2 * l.ClockBound),
		byID:   make(map[string]*list.Element),
		order:  list.New(),
	}
}

// MinTime returns the earliest time of an ID that can be granted.
func (t *Table) MinTime() time.Time { return t.floor }

// Len returns the number of grants in the table and how many were removed
// because the table was full.
func (t *Table) Len() (claims int, evicted uint64) { return t.order.Len(), t.evicted }

// Claim grants the ID to the owner, or returns the verdict that forbids it.
func (t *Table) Claim(now time.Time, q Request) Reply {
	t.expire(now)
	if r, found := t.find(q.ID, q.Digest); found {
		return r
	}
	at, ok := IDTime(q.ID)
	if r := t.checkTime(now, at, ok); r.Verdict != Absent {
		return r
	}
	t.add(grant{Request: q, at: at})
	return Reply{Verdict: Granted, Owner: q.Owner, Seq: q.Seq}
}

// Lookup returns the owner of the ID, whatever its content, and grants nothing.
func (t *Table) Lookup(now time.Time, id string) Reply {
	t.expire(now)
	if e, ok := t.byID[id]; ok {
		g := e.Value.(grant)
		return Reply{Verdict: Held, Owner: g.Owner, Seq: g.Seq}
	}
	at, ok := IDTime(id)
	return t.checkTime(now, at, ok)
}

func (t *Table) find(id, digest string) (Reply, bool) {
	e, ok := t.byID[id]
	if !ok {
		return Reply{}, false
	}
	g := e.Value.(grant)
	if g.Digest != digest {
		return Reply{Verdict: Mismatch, Owner: g.Owner, Seq: g.Seq}, true
	}
	return Reply{Verdict: Held, Owner: g.Owner, Seq: g.Seq}, true
}

// checkTime returns the verdict on an ID that is not in the table: Absent if its
// time at allows a grant. ok is false if the ID carries no time.
func (t *Table) checkTime(now, at time.Time, ok bool) Reply {
	switch {
	case !ok:
		return Reply{Verdict: Unknown, Reason: "the ID carries no time"}
	case at.After(now.Add(t.limits.ClockBound)):
		return Reply{Verdict: TooEarly}
	case now.Sub(at) > t.limits.Window:
		return Reply{Verdict: Unknown, Reason: "the ID is older than the window in which resends are known"}
	case at.Before(t.floor):
		return Reply{Verdict: Unknown, Reason: "the holder's memory begins after the time that the ID carries"}
	}
	return Reply{Verdict: Absent}
}

func (t *Table) add(g grant) {
	t.byID[g.ID] = t.order.PushBack(g)
	for t.order.Len() > t.limits.Entries {
		t.evicted++
		t.dropOldest()
	}
}

// expire removes the oldest grants whose IDs are older than the window plus
// twice ClockBound, so that a clock set back by ClockBound cannot make such an
// ID valid again.
func (t *Table) expire(now time.Time) {
	edge := now.Add(-t.limits.Window - 2*t.limits.ClockBound)
	for e := t.order.Front(); e != nil && e.Value.(grant).at.Before(edge); e = t.order.Front() {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	g := t.order.Remove(t.order.Front()).(grant)
	delete(t.byID, g.ID)
	if after := g.at.Add(time.Millisecond); after.After(t.floor) {
		t.floor = after
	}
}
