// Package runtable is the core of a worker: it decides about the runs of tasks on one backend
// server, the lease under which the backend server keeps them running, and the leases of the
// coordinators that own them.
//
// A task must not be started again elsewhere while an earlier run of it may still be alive. When
// a coordinator can no longer be reached and its lease expires here, its runs are stopped one by
// one. If runs of it, or ends that it has not stored, are left after Settings.StopGrace, the
// table lets the backend server's own lease lapse, which ends everything there. The owner waits
// for as long before it starts the tasks elsewhere.
//
// The package owns the table of runs and ends and the fencing token of this process. It relies
// on its caller for the time, for carrying out the Effects, and for passing on the answers of
// the backend server and the messages of coordinators. It does no I/O and reads no clock. A
// Table is not safe for concurrent use.
package runtable

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/room"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/wire"
)

// Settings of a Table.
type Settings struct {
	DataCentre string // data centre of this worker
	Partitions uint32 // number of partitions of the job store
	// OwnerLease is how long after a coordinator's heartbeat the runs of its durable jobs may go
	// on.
	OwnerLease time.Duration
	// BackendLease is the lease that is requested from the backend server.
	BackendLease time.Duration
	// MaxBackendLease is the longest lease that the backend server grants.
	MaxBackendLease time.Duration
	// ShortRenewWait is how long the backend server may hold back the answer to a renewal until
	// a run has ended, while something runs and a recent call had no answer. LongRenewWait applies
	// at all other times.
	ShortRenewWait time.Duration
	LongRenewWait  time.Duration
	// RenewOverdueAfter is how long after its wait a renewal counts as overdue. The next renewal
	// is then sent without waiting for the answer.
	RenewOverdueAfter time.Duration
	// RenewLimit is the timeout of a renewal, counted from the end of its wait.
	RenewLimit time.Duration
	// CallLimit bounds RenewLimit, which doubles after each unanswered renewal.
	CallLimit time.Duration
	// SilentAfter is how long the backend server may leave calls unanswered before it counts as
	// silent.
	SilentAfter time.Duration
	// Drift is the share by which the backend server's clock may run slow, such as 0.02.
	Drift float64
	// StartLimit is how long a start may stay unanswered before the run is stopped.
	StartLimit time.Duration
	// AdoptionTimeout is how long a new process waits for the owners of the runs that it
	// adopted.
	AdoptionTimeout time.Duration
	// BestEffortLease is the OwnerLease of best-effort jobs. Their runs must be over before the
	// callers send the jobs again.
	BestEffortLease time.Duration
	// StopGrace is the time, from the expiry of an owner's lease, in which its runs are stopped
	// one by one.
	StopGrace time.Duration
	Room      room.Settings // how free capacity is shared among coordinators that request it
}

// Table is the core of one worker.
type Table struct {
	cfg   Settings
	began time.Time // when the process started; stamps count from it

	identity    Identity
	hasIdentity bool // an incarnation is in force, described by identity
	// reportsSeen tracks the numbers of the reports of the incarnation in force.
	reportsSeen   reportNumbers
	noMoreReports bool // the incarnation in force has announced its end
	// others holds reports that name the incarnation in force and other services, the newest of each.
	others []Report
	// services are those that the operators' configuration names, as last read; nil before.
	services        []string
	servicesAskedAt time.Time     // when Effects.Services was last set
	coldUntil       time.Time     // the backend server has announced that it is slow until then
	superseded      []Incarnation // incarnations that are over, the latest last
	candidates      []Report      // reports of incarnations that may be in force, in order of arrival
	probing         Incarnation   // the incarnation that is being probed; zero if none is
	token           uint64        // fencing token; 0 until the backend server's clock is known
	clock           time.Duration // the backend server's clock, as of clockAt
	clockAt         time.Time
	synced          bool // the list of runs has been read under our token
	syncedAt        time.Time
	// complete says that a whole list has been read under our token: runs and ends have all that
	// earlier processes of this worker left.
	complete bool

	runs          map[wire.RunRef]*run
	outcomes      outcomes        // of the runs of this incarnation
	ends          map[uint64]*end // by End number
	lastListedEnd uint64          // greatest number of an end that was listed
	ackedEnd      uint64          // all ends up to this number are stored by their owners

	renewSeq uint64
	// progressSeq is the Seq of the newest renewal whose list was evaluated for progress.
	// reportsProgress says that this incarnation has reported any.
	progressSeq        uint64
	reportsProgress    bool
	unansweredRenewals int             // in a row
	pendingRenewals    map[uint64]bool // by Seq, those without an answer; true if overdue
	// unansweredAt is when a call of any kind was last unanswered.
	unansweredAt  time.Time
	leaseEnds     time.Time     // when the backend server's lease is over for certain
	leaseDeadline time.Duration // on the backend server's clock, the latest lease end that was requested
	lapsing       bool          // nothing is renewed until the lease is over
	silent        bool          // the backend server does not answer
	refusedAt     time.Time     // when it last refused a connection
	noRoomAt      time.Time     // when the backend server last had less capacity than the table assumed

	evacuations routing.Evacuations // the newest version received
	evacuated   bool                // this data centre is among them
	evacReadAt  time.Time           // when any coordinator last read them from the store

	leases map[leaseKey]*ownerLease
	owners map[string]*owner // by connection, without those that a later connection has replaced
	// ownerConns counts the connections of coordinators so far.
	ownerConns uint64
	dirty      []string // connections with a status due
	room       *room.Table
	// capacityShared says that coordinators request capacity, so that only those with a grant are
	// sent a status at once when some comes free.
	capacityShared bool
	recentEnds     map[wire.RunRef]recentEnd
	// unknownStoppedAt is when runs that the table does not know were last stopped.
	unknownStoppedAt time.Time
	// crashedRuns holds the runs of durable jobs that were lost in crashes of the backend
	// server, until their owners have stored that.
	crashedRuns map[wire.RunRef]crashedRun
	// silentRuns holds the runs whose lease lapsed while the backend server was silent or refused
	// connections, until it answers again or its next incarnation shows that it had crashed.
	silentRuns map[wire.RunRef]crashedRun

	effects Effects
}

// ToOwner is a message to a connected coordinator, named by its connection.
type ToOwner struct {
	Owner   string
	Message wire.Message
}

// Effects is what the caller has to carry out.
type Effects struct {
	Sends  []ToOwner
	Starts []StartCall
	Stops  []StopCall
	Notes  []Note
	Renew  bool       // call NextRenewal soon
	Probe  *RenewCall // to be made, its answer to be passed to ProbeAnswered; nil if there is none
	// Services asks for the services that the operators' configuration names, for SetServices.
	Services bool
}

// New returns an empty table; now is the start of the process.
func New(cfg Settings, now time.Time) *Table {
	return &Table{
		cfg:             cfg,
		began:           now,
		evacReadAt:      now,
		runs:            make(map[wire.RunRef]*run),
		ends:            make(map[uint64]*end),
		leases:          make(map[leaseKey]*ownerLease),
		owners:          make(map[string]*owner),
		recentEnds:      make(map[wire.RunRef]recentEnd),
		crashedRuns:     make(map[wire.RunRef]crashedRun),
		silentRuns:      make(map[wire.RunRef]crashedRun),
		pendingRenewals: make(map[uint64]bool),
		outcomes:        newOutcomes(),
		room:            room.New(cfg.Room),
	}
}

// Take returns the effects that have accumulated since the last call.
func (t *Table) Take(now time.Time) Effects {
	t.shareCapacity(now)
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
	t.dropOldEnds(now)
	t.dropOldCrashed(now)
}

func (t *Table) send(owner string, m wire.Message) {
	t.effects.Sends = append(t.effects.Sends, ToOwner{owner, m})
}
