// Package runtable is the core of a worker: the runs of tasks on one backend
// server, the lease that keeps them alive there, and the leases of the
// coordinators that own them.
//
// A run whose owner cannot be reached must be dead for certain before another
// worker may start the task again. So when an owner's lease expires while runs
// of its, or ends that it has not stored, are here, the table lets the backend
// server's own lease lapse, which ends everything there; the owner waits that
// long.
//
// It owns the table of runs and ends, and the fencing token of this process. It
// relies on its caller for the time, for carrying out the Effects, and for the
// answers of the backend server. It does no I/O and reads no clock.
package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/room"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/wire"
)

// Settings of a Table.
type Settings struct {
	DataCentre   string        // of this worker
	Partitions   uint32        // of the job store
	OwnerLease   time.Duration // how long a coordinator's heartbeat keeps its kept jobs' runs
	BackendLease time.Duration // the lease that the backend server is asked for
	// MaxBackendLease is the longest lease that it grants.
	MaxBackendLease time.Duration
	// ShortRenewWait is how long a renewal may wait at the backend server for news while
	// something runs and calls go unanswered; CalmRenewWait, at any other time.
	ShortRenewWait time.Duration
	LongRenewWait  time.Duration
	// RenewOverdueAfter is how long the answer to a renewal may take beyond its wait before
	// the next renewal is made beside it.
	RenewOverdueAfter time.Duration
	RenewLimit        time.Duration // how long the answer to a renewal may take beyond its wait
	CallLimit         time.Duration // the most that RenewLimit grows to
	SilentAfter       time.Duration // without an answer after which the backend server is called silent
	Drift             float64       // by how much the backend server's clock may run slow, such as 0.02
	StartLimit        time.Duration // after which an unanswered start is stopped
	AdoptionTimeout   time.Duration // how long a fresh process waits for the owners of what it adopted
	// BestEffortLease is the OwnerLease of best-effort jobs: their runs must be
	// gone before the callers send the jobs again.
	BestEffortLease time.Duration
	StopGrace       time.Duration // from the end of an owner's lease: time to stop its runs one by one
	Room            room.Settings // how free room is shared among coordinators that ask
}

// Table is the core of one worker.
type Table struct {
	cfg   Settings
	began time.Time // when the process began; stamps count from it

	identity Identity
	known    bool // identity holds a life
	// reportNumber is that of the newest report of the life.
	reportNumber uint64
	coldUntil    time.Time     // the backend server is slow until then, by its own word
	superseded   []Incarnation // lives that are over, the latest last
	candidates   []Report      // of lives that may be the present one, in the order in which they came
	asking       Incarnation   // the candidate that is asked about; empty when none is
	token        uint64        // fencing token; 0 until the backend server's clock is known
	clock        time.Duration // of the backend server, as of clockAt
	clockAt      time.Time
	synced       bool // the backend server's list of runs has been read under our token
	syncedAt     time.Time

	runs     map[wire.RunRef]*run
	outcomes outcomes        // of the runs of this life
	ends     map[uint64]*end // by their number
	seen     uint64          // greatest number of an end that was listed
	acked    uint64          // every end up to it is stored by its owner

	renewSeq uint64
	// progressSeq is the renewal that told of progress last, and tellsProgress whether any
	// of this life has.
	progressSeq   uint64
	tellsProgress bool
	unanswered    int             // renewals in a row that had no answer
	renewals      map[uint64]bool // those on their way, by Seq; whether they are overdue
	// unansweredAt is when a call of any kind last had no answer.
	unansweredAt time.Time
	leaseEnds    time.Time     // when the backend server's lease is over for certain
	granted      time.Duration // the end of the lease that was asked for last, on its clock
	lapsing      bool          // nothing is renewed until the lease is over
	silent       bool          // the backend server does not answer
	refusedAt    time.Time     // when it last refused a connection
	noRoomAt     time.Time     // when the backend server last had less room than we thought

	evacuations routing.Evacuations // the newest word of them
	evacuated   bool                // this data centre is among them
	toldAt      time.Time           // when the store told the coordinator that knows latest

	leases map[leaseKey]*ownerLease
	owners map[string]*owner // by connection; those that were retired are not among them
	// ownersUp counts the connections of owners so far.
	ownersUp uint64
	dirty    []string // owners that are to get a status
	room     *room.Table
	// shared says that somebody asks for room, so that not all are told of what is free.
	shared bool
	recent map[wire.RunRef]recentEnd
	// unknownAt is when runs that the table does not know were stopped last.
	unknownAt time.Time
	// crashed holds the runs of kept jobs that were lost with crashed lives, until their
	// owners have kept that.
	crashed map[wire.RunRef]crashedRun
	// silenced holds the runs whose lease lapsed while the backend server was silent, until
	// it answers again or its next life shows that it had crashed.
	silenced map[wire.RunRef]crashedRun

	effects Effects
}

// ToOwner is a message to a connected coordinator, by its connection's name.
type ToOwner struct {
	Owner   string
	Message wire.Message
}

// Effects is what has to be done.
type Effects struct {
	Sends  []ToOwner
	Starts []StartCall
	Stops  []StopCall
	Notes  []Note
	Renew  bool       // ask for NextRenewal soon
	Probe  *RenewCall // to be made and answered by Asked; nil when there is none
}

// New returns an empty table; now is when the process began.
func New(cfg Settings, now time.Time) *Table {
	return &Table{
		cfg:      cfg,
		began:    now,
		toldAt:   now,
		runs:     make(map[wire.RunRef]*run),
		ends:     make(map[uint64]*end),
		leases:   make(map[leaseKey]*ownerLease),
		owners:   make(map[string]*owner),
		recent:   make(map[wire.RunRef]recentEnd),
		crashed:  make(map[wire.RunRef]crashedRun),
		silenced: make(map[wire.RunRef]crashedRun),
		renewals: make(map[uint64]bool),
		outcomes: newOutcomes(),
		room:     room.New(cfg.Room),
	}
}

// Take returns what has to be done since the last call.
func (t *Table) Take(now time.Time) Effects {
	t.shareRoom(now)
	t.sendStatuses(now)
	e := t.effects
	t.effects = Effects{}
	return e
}

// Tick does what is due by time.
func (t *Table) Tick(now time.Time) {
	t.expireLeases(now)
	t.checkSilence(now)
	t.lapseSilent(now)
	t.finishLapse(now)
	t.endInherited(now)
	t.stopUnansweredStarts(now)
	t.stopStragglers(now)
	t.forgetRecent(now)
	t.forgetCrashed(now)
}

func (t *Table) send(owner string, m wire.Message) {
	t.effects.Sends = append(t.effects.Sends, ToOwner{owner, m})
}
