package claim

import (
	"container/list"
	"time"
)

// Verdict is a holder's answer to a claim.
type Verdict uint8

// The verdicts. Only Granted allows anything to be started.
const (
	// Unknown: the ID may have been granted by a memory that is lost.
	Unknown Verdict = iota
	// Granted: nobody was granted the ID before and nobody will be after.
	Granted
	// Held: the owner named in the reply was granted the ID.
	Held
	// Mismatch: the ID was granted for other content.
	Mismatch
	// TooEarly: the ID carries a time too far in the future.
	TooEarly
	// NotHolder: the asked process goes by another list of holders.
	NotHolder
	// Absent answers a lookup only: the ID was not granted so far.
	Absent
)

var verdictNames = []string{"unknown", "granted", "held", "mismatch", "too_early", "not_holder", "absent"}

// String returns the verdict's name, as used in metric labels.
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

// Limits bounds a table.
type Limits struct {
	Entries int // claims remembered
	// Window is how long a claim is remembered, by the time that its ID
	// carries. Older IDs are Unknown for good.
	Window time.Duration
	// ClockBound is the greatest difference between two clocks of the system
	// that the promise bears. It is checked between processes when they meet.
	ClockBound time.Duration
}

// Owner is an entry, as one life of its process.
type Owner struct {
	Address     string
	Incarnation string
}

// Request is a claim by an entry.
type Request struct {
	ID     string
	Digest string // of the content
	Owner  Owner
	Seq    uint64 // the entry's number for this claim, unique in its incarnation
}

// Reply is the answer to a claim.
type Reply struct {
	Verdict Verdict
	Owner   Owner  // when Granted, Held or Mismatch
	Seq     uint64 // of the claim that was granted; tells an owner which it was
	Reason  string // when Unknown
}

type grant struct {
	Request
	at time.Time // the time that the ID carries
}

// Table is the memory of one holder. It is not safe for use by several
// goroutines.
//
// The table never grants an ID that carries a time before since: a predecessor
// at the same address granted only IDs up to its own time plus ClockBound, and
// its clock and ours differ by ClockBound at most, so that since, our start
// plus twice the bound, lies beyond all that it can have granted. When a grant
// is forgotten for want of room, since rises past it.
type Table struct {
	limits  Limits
	since   time.Time
	byID    map[string]*list.Element // of grant
	order   *list.List               // in the order of granting
	evicted uint64
}

// New returns the empty table of a process that starts now.
func New(now time.Time, l Limits) *Table {
	return &Table{
		limits: l,
		since:  now.Add(2 * l.ClockBound),
		byID:   make(map[string]*list.Element),
		order:  list.New(),
	}
}

// MinTime returns the time from which IDs can be granted.
func (t *Table) MinTime() time.Time { return t.since }

// Len returns the number of claims remembered, and how many were forgotten
// for want of room.
func (t *Table) Len() (claims int, evicted uint64) { return t.order.Len(), t.evicted }

// Claim grants the ID to the owner, or says why not.
func (t *Table) Claim(now time.Time, q Request) Reply {
	t.expire(now)
	if r, found := t.find(q.ID, q.Digest); found {
		return r
	}
	at, ok := IDTime(q.ID)
	if r := t.judge(now, at, ok); r.Verdict != Absent {
		return r
	}
	t.add(grant{Request: q, at: at})
	return Reply{Verdict: Granted, Owner: q.Owner, Seq: q.Seq}
}

// Lookup says who holds the ID, whatever its content, without claiming it.
func (t *Table) Lookup(now time.Time, id string) Reply {
	t.expire(now)
	if e, ok := t.byID[id]; ok {
		g := e.Value.(grant)
		return Reply{Verdict: Held, Owner: g.Owner, Seq: g.Seq}
	}
	at, ok := IDTime(id)
	return t.judge(now, at, ok)
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

// judge says what the time of an ID that is not remembered allows.
func (t *Table) judge(now, at time.Time, ok bool) Reply {
	switch {
	case !ok:
		return Reply{Verdict: Unknown, Reason: "the ID carries no time"}
	case at.After(now.Add(t.limits.ClockBound)):
		return Reply{Verdict: TooEarly}
	case now.Sub(at) > t.limits.Window:
		return Reply{Verdict: Unknown, Reason: "the ID is older than the window in which resends are known"}
	case at.Before(t.since):
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

// expire forgets claims whose IDs are older than the window by so much that a
// clock set back by ClockBound cannot bring them into it again.
func (t *Table) expire(now time.Time) {
	edge := now.Add(-t.limits.Window - 2*t.limits.ClockBound)
	for e := t.order.Front(); e != nil && e.Value.(grant).at.Before(edge); e = t.order.Front() {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	g := t.order.Remove(t.order.Front()).(grant)
	delete(t.byID, g.ID)
	if after := g.at.Add(time.Millisecond); after.After(t.since) {
		t.since = after
	}
}
