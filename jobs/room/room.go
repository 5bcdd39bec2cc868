// Package room is the core that shares a worker's free room among the coordinators that ask
// for it. While none asks, all are told of all that is free, and the first order wins. While
// some ask, what is free is granted in the order of the turns of what waits, whoever asks:
// the coordinator whose task comes first is told of the room, and for a moment nobody else
// is. A grant is no start: an order is taken or refused as ever, and a grant that is not used
// is over by itself.
//
// It owns the asks and the grants. It relies on its caller for the time, for what is free,
// and for telling each coordinator what Free returns. It does no I/O and reads no clock.
package room

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/wire"
)

// Settings of a Table.
type Settings struct {
	Grant time.Duration // how long room is kept for a coordinator that has been told of it
	Ask   time.Duration // how long an ask stands that is not repeated
}

// Table holds the asks and the grants of one worker.
type Table struct {
	cfg Settings
}

// New returns a table without asks.
func New(cfg Settings) *Table { return &Table{cfg: cfg} }

// Ask takes what waits at the owner, a coordinator by the name of its connection.
func (t *Table) Ask(now time.Time, owner string, m *wire.RoomAsk) {}

// Ordered takes the word that the owner has sent an order: it has used what it could of the
// grants that statuses up to the stamp told it of.
func (t *Table) Ordered(now time.Time, owner string, seen int64) {}

// Gone forgets the owner's asks and grants: its connection is lost.
func (t *Table) Gone(owner string) {}

// Share grants what is free and not granted, in the order of the turns of what waits, and
// ends what is over. It returns the owners to whom a new Free is to be told.
func (t *Table) Share(now time.Time, free durable.Resources) []string { return nil }

// Free returns what the owner may use of what is free: all but what is granted to others.
func (t *Table) Free(owner string, free durable.Resources) durable.Resources { return free }

// Told notes that a status with the stamp tells the owner of what Free returns.
func (t *Table) Told(now time.Time, owner string, stamp int64) {}

// Waiting returns the work that others than the owner wait to start here, by priority.
func (t *Table) Waiting(now time.Time, owner string) []wire.WaitingWork { return nil }

// Asked returns whether anybody asks.
func (t *Table) Asked() bool { return false }
