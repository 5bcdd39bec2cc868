// Package dedup decides which coordinator runs a best-effort job that its caller has sent to
// several coordinators, one after another, so that the job does not run twice.
//
// A caller without an answer sends its job again, to any coordinator, at least
// Settings.ResendAfter after its previous call. Best-effort jobs are not stored anywhere, so
// coordinators announce to each other which ones they hold. A Table holds the announcements that
// one coordinator has received. Unannounced returns the jobs that the coordinator itself has to
// give up because it failed to announce them in time.
//
// The package owns the announced jobs of other coordinators. It relies on its caller for the
// time, for received announcements and for lost links. It does no I/O and reads no clock.
package dedup

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// Settings of a Table.
type Settings struct {
	// ResendAfter is the least time between two calls of a caller for the same job.
	ResendAfter time.Duration
	// RunsEndWithin is the time after the loss of a coordinator by which all runs that it had
	// ordered have ended.
	RunsEndWithin time.Duration
	// StartupWait is how long a coordinator that has just started waits for the announcements
	// of others, from the moment at which it knows their addresses.
	StartupWait time.Duration
}

// Shares of Settings.ResendAfter.
const (
	announceShare = 0.4  // after which a job is announced
	deadlineShare = 0.85 // after which it is too late for the first announcement
)

// AnnounceAfter is the age from which a job is announced to other coordinators. The rest of
// ResendAfter leaves time for slow links and slow control goroutines.
func (s Settings) AnnounceAfter() time.Duration { return share(s.ResendAfter, announceShare) }

// AnnounceDeadline is the age by which a job has to be announced: a later announcement may
// arrive after the call that the caller sends again.
func (s Settings) AnnounceDeadline() time.Duration { return share(s.ResendAfter, deadlineShare) }

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// Unannounced returns the jobs among old that are not in announced. The caller passes its own
// jobs that are older than Settings.AnnounceDeadline, and gives up those that are returned.
// Both slices are sorted.
func Unannounced(old, announced []durable.JobID) []durable.JobID {
	var late []durable.JobID
	for _, id := range old {
		if _, found := slices.BinarySearch(announced, id); !found {
			late = append(late, id)
		}
	}
	return late
}

// Peer identifies one process of another coordinator.
type Peer struct {
	Address     string
	Incarnation string // differs between the processes that run at an address in turn
}

// announcement is the last list of jobs received from a coordinator.
type announcement struct {
	receivedAt time.Time
	jobs       map[durable.JobID]struct{}
	// lostAt is when the link to the coordinator was lost, its announcements stopped or its
	// successor announced jobs; zero while it is connected.
	lostAt time.Time
}

// Table holds what other coordinators have announced to one coordinator.
type Table struct {
	cfg           Settings
	announcements map[Peer]*announcement
	// awaited holds the addresses of the initial peers that have announced nothing yet.
	awaited map[string]struct{}
	knownAt time.Time // when the initial peers were set; zero before
}

// New returns an empty table.
func New(cfg Settings) *Table {
	return &Table{cfg: cfg, announcements: make(map[Peer]*announcement), awaited: make(map[string]struct{})}
}

// Settings returns the settings of the table.
func (t *Table) Settings() Settings { return t.cfg }

// SetInitialPeers sets the addresses of the other coordinators that were registered when this
// process first read the registrations. Only the first call has an effect.
func (t *Table) SetInitialPeers(now time.Time, addresses []string) {
	if t.InitialPeersKnown() {
		return
	}
	t.knownAt = now
	for _, address := range addresses {
		if !t.hasAnnounced(address) {
			t.awaited[address] = struct{}{}
		}
	}
}

// InitialPeersKnown returns whether SetInitialPeers was called.
func (t *Table) InitialPeersKnown() bool { return !t.knownAt.IsZero() }

func (t *Table) hasAnnounced(address string) bool {
	for p := range t.announcements {
		if p.Address == address {
			return true
		}
	}
	return false
}

// Ready returns whether every initial peer has announced its jobs, or Settings.StartupWait has
// passed since SetInitialPeers. Before that an unknown job may be held by another coordinator.
func (t *Table) Ready(now time.Time) bool {
	return t.InitialPeersKnown() && (len(t.awaited) == 0 || now.Sub(t.knownAt) >= t.cfg.StartupWait)
}

// Update records the jobs that a coordinator has announced, in place of those that it announced
// before. Earlier processes at the same address count as lost: their runs may last for a while.
func (t *Table) Update(now time.Time, from Peer, jobs []durable.JobID) {
	delete(t.awaited, from.Address)
	for p, a := range t.announcements {
		if p.Address == from.Address && p != from {
			a.markLost(now)
		}
	}
	a := &announcement{receivedAt: now, jobs: make(map[durable.JobID]struct{}, len(jobs))}
	for _, id := range jobs {
		a.jobs[id] = struct{}{}
	}
	t.announcements[from] = a
}

// LinkLost records that the link to the coordinator at the address is lost. The coordinator
// itself may still be running, so its jobs are kept until their runs must have ended.
func (t *Table) LinkLost(now time.Time, address string) {
	for p, a := range t.announcements {
		if p.Address == address {
			a.markLost(now)
		}
	}
}

func (a *announcement) markLost(now time.Time) {
	if a.lostAt.IsZero() {
		a.lostAt = now
	}
}

// Holder returns the address of the connected coordinator that has announced the job. held is
// also true where a lost coordinator had announced it and its runs may not have ended; the
// address is then empty.
func (t *Table) Holder(now time.Time, id durable.JobID) (address string, held bool) {
	for p, a := range t.announcements {
		switch _, has := a.jobs[id]; {
		case !has:
		case a.lostAt.IsZero():
			address, held = max(address, p.Address), true
		case now.Before(t.runsEnd(a)):
			held = true
		}
	}
	return address, held
}

// HeldBy returns whether the last announcement of the coordinator at the address lists the job
// and the coordinator is not lost.
func (t *Table) HeldBy(address string, id durable.JobID) bool {
	for p, a := range t.announcements {
		if _, has := a.jobs[id]; has && p.Address == address && a.lostAt.IsZero() {
			return true
		}
	}
	return false
}

const (
	// maxAnnounceInterval is the longest time between two announcements of a coordinator.
	maxAnnounceInterval = time.Second
	// announceTimeout is how long after its last announcement a coordinator counts as lost. An
	// announcement that was sent over a broken connection may be read after LinkLost, and would
	// otherwise hold its jobs for ever.
	announceTimeout = 3 * maxAnnounceInterval
)

// runsEnd returns when all runs ordered by a lost coordinator have ended. It counts from the
// loss of the link, or, where the loss was noticed late, from maxAnnounceInterval after the last
// announcement: a coordinator that was still running would have announced again by then.
func (t *Table) runsEnd(a *announcement) time.Time {
	last := a.receivedAt.Add(maxAnnounceInterval)
	if a.lostAt.Before(last) {
		last = a.lostAt
	}
	return last.Add(t.cfg.RunsEndWithin)
}

// Expire marks coordinators as lost that have announced nothing for announceTimeout, and removes
// the announcements of lost coordinators whose runs have ended.
func (t *Table) Expire(now time.Time) {
	for p, a := range t.announcements {
		if now.Sub(a.receivedAt) >= announceTimeout {
			a.markLost(now)
		}
		if !a.lostAt.IsZero() && !now.Before(t.runsEnd(a)) {
			delete(t.announcements, p)
		}
	}
}
