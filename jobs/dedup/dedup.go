// Package dedup decides where a best-effort job runs whose caller has sent it to several
// coordinators, one after the other.
//
// A caller without an answer sends its job again, to any coordinator, Settings.ResendAfter after
// the call before. Nothing of the job is kept anywhere, so the coordinators tell each other of
// the jobs that they have. A Table is what one of them was told; Late says which of its own jobs
// it must give up, since it has not told others in time.
//
// It owns what other coordinators have said of their jobs. It relies on its caller for the time,
// for the words of others and the state of the links to them. It does no I/O and reads no clock.
package dedup

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// Settings of a Table.
type Settings struct {
	// ResendAfter is the least time from a caller's call to the next about the same job.
	ResendAfter time.Duration
	// RunsEndWithin is how long runs may last after the last that was heard of the coordinator that
	// ordered them, if it is gone.
	RunsEndWithin time.Duration
	// StartupWait is how long a coordinator that has just begun waits for the words of others,
	// once it has read who they are.
	StartupWait time.Duration
}

// Shares of Settings.ResendAfter.
const (
	tellShare = 0.4  // after which others are told of a job
	lateShare = 0.85 // after which it is too late to tell them for the first time
)

// AnnounceAfter is the age from which other coordinators are told of a job. The rest of ResendAfter
// is for links and control goroutines that are slow.
func (s Settings) AnnounceAfter() time.Duration { return share(s.ResendAfter, tellShare) }

// AnnounceDeadline is the age from which it is too late to tell them for the first time: a copy may come
// before it is heard.
func (s Settings) AnnounceDeadline() time.Duration { return share(s.ResendAfter, lateShare) }

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// Unannounced returns which of our jobs, all older than Settings.TooLate, are to be given up: others
// have not been told of them. Both are in order.
func Unannounced(old, told []durable.JobID) []durable.JobID {
	var late []durable.JobID
	for _, id := range old {
		if _, isTold := slices.BinarySearch(told, id); !isTold {
			late = append(late, id)
		}
	}
	return late
}

// Peer is another coordinator: its address, and its process there.
type Peer struct {
	Address     string
	Incarnation string
}

// word is what a coordinator has said last.
type word struct {
	at   time.Time
	jobs map[durable.JobID]struct{}
	gone time.Time // when the link to it was lost, or its successor was heard; zero while it is there
}

// Table is what one coordinator was told by others.
type Table struct {
	cfg   Settings
	words map[Peer]*word
	// awaited are the coordinators that were there before us and have said nothing yet, by
	// address.
	awaited map[string]struct{}
	knownAt time.Time // when awaited was filled; zero before
}

// New returns an empty table.
func New(cfg Settings) *Table {
	return &Table{cfg: cfg, words: make(map[Peer]*word), awaited: make(map[string]struct{})}
}

// Settings returns the settings of the table.
func (t *Table) Settings() Settings { return t.cfg }

// SetInitialPeers tells the table of the other coordinators that were registered when this process
// first read of them; later calls change nothing.
func (t *Table) SetInitialPeers(now time.Time, addresses []string) {
	if t.InitialPeersKnown() {
		return
	}
	t.knownAt = now
	for _, address := range addresses {
		if !t.heard(address) {
			t.awaited[address] = struct{}{}
		}
	}
}

// InitialPeersKnown returns whether Known was called.
func (t *Table) InitialPeersKnown() bool { return !t.knownAt.IsZero() }

func (t *Table) heard(address string) bool {
	for p := range t.words {
		if p.Address == address {
			return true
		}
	}
	return false
}

// Ready returns whether the coordinators that were there before us have told what they have.
// One that says nothing is waited for until Settings.Greeting after Known.
func (t *Table) Ready(now time.Time) bool {
	return t.InitialPeersKnown() && (len(t.awaited) == 0 || now.Sub(t.knownAt) >= t.cfg.StartupWait)
}

// Update takes the word of a coordinator of its jobs, which replaces all that it said before.
// What an earlier process at the address had may run on for a while.
func (t *Table) Update(now time.Time, from Peer, jobs []durable.JobID) {
	delete(t.awaited, from.Address)
	for p, w := range t.words {
		if p.Address == from.Address && p != from {
			w.leave(now)
		}
	}
	w := &word{at: now, jobs: make(map[durable.JobID]struct{}, len(jobs))}
	for _, id := range jobs {
		w.jobs[id] = struct{}{}
	}
	t.words[from] = w
}

// LinkLost tells the table that the link to the coordinator is lost. It may be there nevertheless.
func (t *Table) LinkLost(now time.Time, address string) {
	for p, w := range t.words {
		if p.Address == address {
			w.leave(now)
		}
	}
}

func (w *word) leave(now time.Time) {
	if w.gone.IsZero() {
		w.gone = now
	}
}

// Holder returns the address of the coordinator that has the job. held says that one has it, or
// may have: without an address it cannot be reached now.
func (t *Table) Holder(now time.Time, id durable.JobID) (address string, held bool) {
	for p, w := range t.words {
		switch _, has := w.jobs[id]; {
		case !has:
		case w.gone.IsZero():
			address, held = max(address, p.Address), true
		case now.Before(t.end(w)):
			held = true
		}
	}
	return address, held
}

// HeldBy returns whether the coordinator at the address has last said that it has the job.
func (t *Table) HeldBy(address string, id durable.JobID) bool {
	for p, w := range t.words {
		if _, has := w.jobs[id]; has && p.Address == address && w.gone.IsZero() {
			return true
		}
	}
	return false
}

// sayEvery is how often coordinators say something at the least, and silentAfter when one is
// taken for lost that has said nothing: the rest of what it said over a connection that broke
// may be read after the loss of the link to it.
const (
	sayEvery    = time.Second
	silentAfter = 3 * sayEvery
)

// end returns when the runs are over that a lost coordinator had ordered, if it is gone: it
// was there when its last word came, and not much longer where the loss was noticed late.
func (t *Table) end(w *word) time.Time {
	last := w.at.Add(sayEvery)
	if w.gone.Before(last) {
		last = w.gone
	}
	return last.Add(t.cfg.RunsEndWithin)
}

// Expire drops the words of lost coordinators whose runs are over.
func (t *Table) Expire(now time.Time) {
	for p, w := range t.words {
		if now.Sub(w.at) >= silentAfter {
			w.leave(now)
		}
		if !w.gone.IsZero() && !now.Before(t.end(w)) {
			delete(t.words, p)
		}
	}
}
