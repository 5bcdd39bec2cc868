// Package registration makes a coordinator or worker known to the others, by a
// record in the store. It owns what is known of that record, and relies on the store
// being reached some day: it tries until then.
//
// All records are in one partition, which takes its appends in turn, and readings wait
// for them. When all processes start at once, nobody finds the others until the last
// append before the reading is done. So a record that is there already is not written
// again, and one that only tells more of an address that is known is put off. And a worker
// does not read the records to find its own among those of all: a coordinator that
// connects to it has read them, and tells. With 984 processes that read 474 MB were read on
// a return of all, with the coordinators alone 56 MB (platform TestFleet).
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
	// callLimit is how long one append may take: longer than the store lets appends wait for
	// each other, 2 s, or it would be made again while the first still waits.
	callLimit = 4 * time.Second
	// toldWithin is how long a worker waits at least to be told what the store has: more than
	// coordinators that run take to connect to it, 0.2 s. Up to as much again is added by
	// chance, so that not all register in one moment.
	toldWithin = time.Second
	// putOffMost is how long a record is put off at most that the others can do without,
	// evenly spread: they connect to the address that they know, and hear the rest there.
	// So 240 appends of 4 ms each fill a fifth of the time.
	putOffMost = 5 * time.Second
)

// refused is the pause after an append that failed, half of it by chance. What fails is most
// often a queue of appends that is full, which the store lets grow to 2 s: so long it takes
// to be empty. At 2,000 boxes, with a fixed pause of 300 ms, a first start was not over in a
// minute, for 204,891 refusals (platform TestFleet).
var refused = retry.Backoff{Base: 2 * time.Second, Max: 4 * time.Second}

// Registrar keeps the record of one process. It is used by one goroutine at a time, but for
// Tell.
type Registrar struct {
	store store.Store
	log   *logging.Log
	told  chan *store.Member // what the store has, by word of others; holds the newest

	recalled bool // member and found are what the store has
	member   store.Member
	found    bool
}

// NewRegistrar returns the keeper of the record of a process.
func NewRegistrar(s store.Store, log *logging.Log) *Registrar {
	return &Registrar{store: s, log: log, told: make(chan *store.Member, 1)}
}

// Report tells the keeper what the store has, by word of another process that has read it. It
// may be called by any goroutine, and does not block.
func (k *Registrar) Report(m store.Member) {
	select {
	case <-k.told:
	default:
	}
	select {
	case k.told <- &m:
	default: // somebody else has told the same moment
	}
}

// SetRecorded tells the keeper what was read of the record.
func (k *Registrar) SetRecorded(m store.Member, found bool) {
	k.recalled, k.member, k.found = true, m, found
}

// Register sees that the store has the record: it tries until then, until ctx ends, or until
// superseded says that there is something newer to register.
func (k *Registrar) Register(ctx context.Context, m store.Member, superseded func() bool) {
	if !k.recalled {
		k.awaitWord(ctx)
	}
	if k.found && m.Equal(&k.member) {
		k.log.Info("registered_before", zap.String("address", m.Address))
		return
	}
	if k.found && m.Role == k.member.Role {
		loop.Sleep(ctx, rand.N(putOffMost))
	}
	for try := 0; ctx.Err() == nil && !superseded(); try++ {
		if k.registerOnce(ctx, m) {
			return
		}
		loop.Sleep(ctx, refused.Delay(try, rand.Float64()))
	}
}

// awaitWord waits a while for the word of another process.
func (k *Registrar) awaitWord(ctx context.Context) {
	late := time.NewTimer(toldWithin + rand.N(toldWithin))
	defer late.Stop()
	select {
	case m := <-k.told:
		k.SetRecorded(*m, true)
	case <-late.C:
	case <-ctx.Done():
	}
}

func (k *Registrar) registerOnce(ctx context.Context, m store.Member) bool {
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := k.store.Register(call, m); err != nil {
		k.recalled, k.found = true, false // it may have been written, or not
		k.log.Warn("register_failed", zap.Error(err))
		return false
	}
	k.SetRecorded(m, true)
	k.log.Info("registered", zap.String("address", m.Address))
	return true
}
