package claims

import (
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Witness holds the claims that one worker has granted.
type Witness struct {
	lease time.Duration
	// sureAt is when claims are granted again: before, claims that were granted earlier may be missing.
	sureAt  time.Time
	count   uint64                // of connections so far
	conns   map[string]*witnessed // by the name of the connection
	holders map[string]*holder    // by member, of coordinators that have sent anything
	granted map[uint64]*holder    // by job
}

// witnessed is a connection of a coordinator.
type witnessed struct {
	member, address string
	number          uint64 // higher for a later connection
}

// holder is a coordinator process with its claims.
type holder struct {
	address string
	newest  uint64 // number of the newest connection that has carried a message
	heardAt time.Time
	jobs    map[uint64]struct{}
}

// NewWitness returns a witness of a worker that starts now. lease is the result of Lease, for the
// leases that coordinators have on their runs.
func NewWitness(now time.Time, lease time.Duration) *Witness {
	return &Witness{
		lease:   lease,
		sureAt:  now.Add(lease),
		conns:   make(map[string]*witnessed),
		holders: make(map[string]*holder),
		granted: make(map[uint64]*holder),
	}
}

// Up records a connection of a coordinator. conn names the connection and must be unique to it; member
// is the ID of the coordinator's process, and address the one at which other coordinators reach it.
func (w *Witness) Up(conn, member, address string) {
	w.count++
	w.conns[conn] = &witnessed{member, address, w.count}
}

// Down removes a lost connection. The claims stay until the lease is over.
func (w *Witness) Down(conn string) { delete(w.conns, conn) }

// Stalled records that the worker handled nothing for a while. If that lasted for long, claims may seem
// to have expired whose renewals are still to be handled.
func (w *Witness) Stalled(now time.Time, length time.Duration) {
	if length >= w.lease-RenewInterval {
		w.sureAt = now.Add(w.lease)
	}
}

// Handle records what a coordinator claims and withdraws, and returns the answer; nil if there is
// nothing to answer, or the coordinator has sent messages on a later connection.
func (w *Witness) Handle(now time.Time, conn string, m *wire.JobClaims) *wire.JobClaimsReply {
	h := w.heard(now, conn)
	if h == nil {
		return nil
	}
	if m.Complete {
		w.withdrawOthers(h, m.Claims)
	}
	for _, job := range m.Withdrawn {
		w.withdraw(h, job)
	}
	if len(m.Claims) == 0 {
		return nil
	}
	reply := &wire.JobClaimsReply{Seq: m.Seq, Unsure: now.Before(w.sureAt)}
	for _, job := range m.Claims {
		if other := w.granted[job]; other != nil && other != h && !w.expired(now, other) {
			reply.Denied = append(reply.Denied, wire.DeniedClaim{Job: job, Holder: other.address})
			continue
		}
		w.grant(h, job)
	}
	return reply
}

// heard returns the coordinator that has sent a message over the connection, of which it thereby hears.
// It returns nil if the message is late: the coordinator has made a later connection.
func (w *Witness) heard(now time.Time, conn string) *holder {
	c := w.conns[conn]
	if c == nil {
		return nil
	}
	h := w.holders[c.member]
	if h == nil {
		h = &holder{address: c.address, jobs: make(map[uint64]struct{})}
		w.holders[c.member] = h
	}
	if c.number < h.newest {
		return nil
	}
	h.newest = c.number
	h.heardAt = now
	return h
}

func (w *Witness) grant(h *holder, job uint64) {
	if other := w.granted[job]; other != nil {
		delete(other.jobs, job)
	}
	w.granted[job] = h
	h.jobs[job] = struct{}{}
}

func (w *Witness) withdraw(h *holder, job uint64) {
	if w.granted[job] == h {
		delete(w.granted, job)
		delete(h.jobs, job)
	}
}

// withdrawOthers withdraws the coordinator's claims that are not among jobs.
func (w *Witness) withdrawOthers(h *holder, jobs []uint64) {
	for job := range h.jobs {
		if !slices.Contains(jobs, job) {
			w.withdraw(h, job)
		}
	}
}

func (w *Witness) expired(now time.Time, h *holder) bool { return now.Sub(h.heardAt) >= w.lease }

// Tick drops the claims of coordinators whose lease is over.
func (w *Witness) Tick(now time.Time) {
	for member, h := range w.holders {
		if !w.expired(now, h) {
			continue
		}
		for job := range h.jobs {
			delete(w.granted, job)
		}
		delete(w.holders, member)
	}
}

// Len returns the number of claims.
func (w *Witness) Len() int { return len(w.granted) }
