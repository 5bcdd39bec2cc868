// Package registration makes a coordinator or worker known to the others, by a
// record in the store. It owns what is known of that record, and relies on the store
// being reached some day: it tries until then.
//
// All records are in one partition, which takes its appends in turn, and readings wait
// for them. When all processes start at once, nobody finds the others until the last
// append before the reading is done. So a record that is there already is not written
// again, and one that only tells more of an address that is known is put off.
package registration

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/loop"
)

const (
	// callLimit is how long one call may take. Chosen, not measured.
	callLimit = 2 * time.Second
	// retryPause is the pause after a try that failed. Chosen, not measured.
	retryPause = 300 * time.Millisecond
	// recallTries is how often the record is read in vain before it is written unread.
	// Chosen, not measured.
	recallTries = 3
	// putOffMost is how long a record is put off at most that the others can do without,
	// evenly spread: they connect to the address that they know, and hear the rest there.
	// Chosen, not measured: 240 appends of 4 ms each then fill a fifth of the time.
	putOffMost = 5 * time.Second
)

// Keeper keeps the record of one process. It is used by one goroutine at a time.
type Keeper struct {
	store   store.Store
	address string
	log     *logging.Log

	recalled bool // member and found are what the store has
	member   store.Member
	found    bool
}

// NewKeeper returns the keeper of the record of a process that its peers reach at the
// address.
func NewKeeper(s store.Store, address string, log *logging.Log) *Keeper {
	return &Keeper{store: s, address: address, log: log}
}

// Recall returns the record that the store has, as this process or an earlier one at the
// address wrote it. It is read once.
func (k *Keeper) Recall(ctx context.Context) (m store.Member, found bool, err error) {
	if k.recalled {
		return k.member, k.found, nil
	}
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	m, found, err = k.store.Member(call, k.address)
	if err != nil {
		k.log.Warn("member_unread", zap.Error(err))
		return m, false, err
	}
	k.Recalled(m, found)
	return m, found, nil
}

// Recalled tells the keeper what was read of the record in another way.
func (k *Keeper) Recalled(m store.Member, found bool) {
	k.recalled, k.member, k.found = true, m, found
}

// Keep sees that the store has the record: it tries until then, until ctx ends, or until
// superseded says that there is something newer to register.
func (k *Keeper) Keep(ctx context.Context, m store.Member, superseded func() bool) {
	for try := 0; !k.recalled && try < recallTries && ctx.Err() == nil; try++ {
		if _, _, err := k.Recall(ctx); err != nil {
			loop.Sleep(ctx, retryPause)
		}
	}
	if k.found && m.Same(&k.member) {
		k.log.Info("registered_before", zap.String("address", m.Address))
		return
	}
	if k.found && m.Role == k.member.Role {
		loop.Sleep(ctx, rand.N(putOffMost))
	}
	for ctx.Err() == nil && !superseded() {
		if k.register(ctx, m) {
			return
		}
		loop.Sleep(ctx, retryPause)
	}
}

func (k *Keeper) register(ctx context.Context, m store.Member) bool {
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := k.store.Register(call, m); err != nil {
		k.recalled, k.found = true, false // it may have been written, or not
		k.log.Warn("register_failed", zap.Error(err))
		return false
	}
	k.Recalled(m, true)
	k.log.Info("registered", zap.String("address", m.Address))
	return true
}
