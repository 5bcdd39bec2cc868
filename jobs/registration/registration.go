// Package registration registers a coordinator or worker with the others, by a record in the
// store. It owns what is known of that record, and relies on the store to be reachable at some
// point: it retries until then.
//
// The records of all processes are in one partition, which executes its appends one by one, and
// reads wait for the appends before them. When all processes start at once, no process finds the
// others until the last append before its read is done. Three rules keep appends and reads few:
//
//   - A record that is already stored is not written again.
//   - A record that only updates an address which others already know is delayed.
//   - A worker does not read the records of all processes to find its own. A coordinator that
//     connects to it has read them, and reports the worker's record to it. When 984 processes
//     restarted together and each of them read the records, they read 474 MB; with the
//     coordinators alone they read 56 MB (platform TestFleet).
package registration

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/retry"
)

const (
	// callLimit is the timeout of one append. The store lets appends wait for each other for up
	// to 2 s; with a shorter timeout an append would be repeated while the first still waits.
	callLimit = 4 * time.Second
	// reportWait is the least time that a worker waits for a report of its stored record. Running
	// coordinators take 0.2 s to connect to it. A random time of up to as much again is added, so
	// that workers that start together don't register at the same moment.
	reportWait = time.Second
	// maxUpdateDelay is the longest delay before a record is updated; delays are uniformly random.
	// Others can do without the update: they connect to the address that they know, and receive
	// the rest over the connection. 240 appends of 4 ms each take a fifth of this time.
	maxUpdateDelay = 5 * time.Second
)

// retryBackoff is the pause after a failed append, half of it random. The usual cause is a full
// queue of appends, which the store lets grow to 2 s of work and so takes 2 s to drain. At 2,000
// boxes a fixed pause of 300 ms led to 204,891 refusals, and the first start of all boxes took more
// than a minute (platform TestFleet).
var retryBackoff = retry.Backoff{Base: 2 * time.Second, Max: 4 * time.Second}

// Registrar writes the record of one process. All methods but Report are for one goroutine at a
// time.
type Registrar struct {
	store    store.Store
	log      *logging.Log
	reported chan *store.Member // the newest report of the stored record

	recorded bool // member and found describe what is stored
	member   store.Member
	found    bool
}

// NewRegistrar returns the registrar of a process.
func NewRegistrar(s store.Store, log *logging.Log) *Registrar {
	return &Registrar{store: s, log: log, reported: make(chan *store.Member, 1)}
}

// Report passes on the stored record as another process has read it. It may be called by any
// goroutine, and does not block.
func (r *Registrar) Report(m store.Member) {
	select {
	case <-r.reported:
	default:
	}
	select {
	case r.reported <- &m:
	default: // a concurrent call has reported at the same moment
	}
}

// SetRecorded sets the stored record of the process; found is false if there is none.
func (r *Registrar) SetRecorded(m store.Member, found bool) {
	r.recorded, r.member, r.found = true, m, found
}

// Register makes sure that m is stored: it retries until the store has it, ctx ends, or
// superseded returns that there is a newer record to register. It does nothing if m is stored
// already, and waits up to maxUpdateDelay if the stored record differs from m but has its role.
func (r *Registrar) Register(ctx context.Context, m store.Member, superseded func() bool) {
	if !r.recorded {
		r.awaitReport(ctx)
	}
	if r.found && m.Equal(&r.member) {
		r.log.Info("registered_before", zap.String("address", m.Address))
		return
	}
	if r.found && m.Role == r.member.Role {
		loop.Sleep(ctx, rand.N(maxUpdateDelay))
	}
	for try := 0; ctx.Err() == nil && !superseded(); try++ {
		if r.registerOnce(ctx, m) {
			return
		}
		loop.Sleep(ctx, retryBackoff.Delay(try, rand.Float64()))
	}
}

// awaitReport waits for a report of the stored record, up to twice reportWait.
func (r *Registrar) awaitReport(ctx context.Context) {
	timeout := time.NewTimer(reportWait + rand.N(reportWait))
	defer timeout.Stop()
	select {
	case m := <-r.reported:
		r.SetRecorded(*m, true)
	case <-timeout.C:
	case <-ctx.Done():
	}
}

func (r *Registrar) registerOnce(ctx context.Context, m store.Member) bool {
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := r.store.Register(call, m); err != nil {
		r.recorded, r.found = true, false // the append may or may not have been executed
		r.log.Warn("register_failed", zap.Error(err))
		return false
	}
	r.SetRecorded(m, true)
	r.log.Info("registered", zap.String("address", m.Address))
	return true
}
