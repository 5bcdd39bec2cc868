package fakestore

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/store"
)

// Call is a kind of call that a Client can hold up.
type Call string

// The kinds of calls that can be held up.
const (
	CallJoin   Call = "join"
	CallFence  Call = "fence"
	CallAppend Call = "append"
	CallNewest Call = "newest"
	// CallMembers is a reading of the registered processes by SyncMembers.
	CallMembers Call = "members"
	callOther   Call = "other"
)

var errNoAnswer = errors.New("no answer")

// Client is the store as one process reaches it. Calls of each kind can be held up on their way to
// the store and on their way back, so that they arrive late, and answers in any order. The store can
// leave the process without answers while it serves others, and its news of registered processes can
// be late. It implements store.Store and is safe for concurrent use.
type Client struct {
	*Store
	mu     sync.Mutex
	holds  map[Call]*Held // of the calls that begin now
	silent bool           // set by Silence
	late   bool           // set by DelayMembers

	feed sync.Mutex           // held while f is called
	f    func([]store.Member) // of WatchMembers; nil before
}

var _ store.Store = (*Client)(nil)

// Client returns the store as one more process reaches it.
func (s *Store) Client() *Client { return &Client{Store: s, holds: make(map[Call]*Held)} }

// Held are the calls that one Hold has held up.
type Held struct {
	begun    atomic.Int32
	answered atomic.Int32
	arrive   chan struct{} // closed by Arrive
	answer   chan struct{} // closed by Answer
}

// Hold holds up the calls of the kind that begin from now on, until the next Hold or Pass of that
// kind.
func (c *Client) Hold(kind Call) *Held {
	h := &Held{arrive: make(chan struct{}), answer: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds[kind] = h
	return h
}

// Pass lets the calls of the kind that begin from now on pass. Those that are held up stay so.
func (c *Client) Pass(kind Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.holds, kind)
}

// Begun returns how many calls have been held up.
func (h *Held) Begun() int { return int(h.begun.Load()) }

// Answered returns how many of the calls the store has carried out.
func (h *Held) Answered() int { return int(h.answered.Load()) }

// Arrive lets the calls reach the store; their answers are still held up.
func (h *Held) Arrive() { close(h.arrive) }

// Answer delivers the answers. A caller whose context has ended by then gets its answer too, as if
// that had arrived just before.
func (h *Held) Answer() { close(h.answer) }

// Silence makes the store answer no call of this process and send it no news, or serve it again.
func (c *Client) Silence(silent bool) {
	c.mu.Lock()
	c.silent = silent
	c.mu.Unlock()
	c.wake()
}

// DelayMembers holds up the news of registered processes that WatchMembers gets, as a reading that
// hangs does, or delivers it. SyncMembers reads them all the same.
func (c *Client) DelayMembers(late bool) {
	c.mu.Lock()
	c.late = late
	c.mu.Unlock()
	c.wake()
}

// wake has all watches read again.
func (c *Client) wake() {
	c.Store.mu.Lock()
	defer c.Store.mu.Unlock()
	c.notify()
}

// state returns whether the store is silent to the process, and whether its news of members is late.
func (c *Client) state() (silent, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent, c.late
}

// do carries out a call, which is held up if a Hold of its kind is in force.
func (c *Client) do(ctx context.Context, kind Call, call func() error) error {
	c.mu.Lock()
	silent, h := c.silent, c.holds[kind]
	c.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return errNoAnswer
	case h == nil:
		return call()
	}
	h.begun.Add(1)
	<-h.arrive
	err := call()
	h.answered.Add(1)
	<-h.answer
	return err
}

// Join implements store.Store.
func (c *Client) Join(ctx context.Context, member string, generation uint64, ttl time.Duration) (a store.Assignment, err error) {
	err = c.do(ctx, CallJoin, func() (err error) {
		a, err = c.Store.Join(ctx, member, generation, ttl)
		return err
	})
	return a, err
}

// Fence implements store.Store.
func (c *Client) Fence(ctx context.Context, partition uint32, epoch uint64, term durable.Record) error {
	return c.do(ctx, CallFence, func() error { return c.Store.Fence(ctx, partition, epoch, term) })
}

// Append implements store.Store.
func (c *Client) Append(ctx context.Context, partition uint32, epoch, number uint64, records []durable.Record) error {
	return c.do(ctx, CallAppend, func() error { return c.Store.Append(ctx, partition, epoch, number, records) })
}

// NewestRecords implements store.Store.
func (c *Client) NewestRecords(ctx context.Context, partition uint32) (records []durable.Record, err error) {
	err = c.do(ctx, CallNewest, func() (err error) {
		records, err = c.Store.NewestRecords(ctx, partition)
		return err
	})
	return records, err
}

// Leave implements store.Store.
func (c *Client) Leave(ctx context.Context, member string) error {
	return c.do(ctx, callOther, func() error { return c.Store.Leave(ctx, member) })
}

// Register implements store.Store.
func (c *Client) Register(ctx context.Context, m store.Member) error {
	return c.do(ctx, callOther, func() error { return c.Store.Register(ctx, m) })
}

// WatchMembers implements store.Store. Each call of f has all registered processes.
func (c *Client) WatchMembers(ctx context.Context, f func([]store.Member)) {
	c.feed.Lock()
	c.f = f
	c.feed.Unlock()
	c.watch(ctx, func() func() {
		return func() {
			if silent, late := c.state(); silent || late {
				return
			}
			_ = c.deliverMembers() // a refusal ends with news for all watches
		}
	})
}

// SyncMembers implements store.Store.
func (c *Client) SyncMembers(ctx context.Context) error {
	return c.do(ctx, CallMembers, c.deliverMembers)
}

// deliverMembers calls the function of WatchMembers with all registered processes.
func (c *Client) deliverMembers() error {
	c.feed.Lock()
	defer c.feed.Unlock()
	if c.f == nil {
		return errors.New("the members are not watched")
	}
	members, err := c.members()
	if err == nil {
		c.f(members)
	}
	return err
}

// WatchOperators implements store.Store. It calls f at the start and after each change only.
func (c *Client) WatchOperators(ctx context.Context, pause time.Duration, f func(routing.OperatorUpdate)) {
	c.Store.WatchOperators(ctx, pause, func(u routing.OperatorUpdate) {
		if silent, _ := c.state(); !silent {
			f(u)
		}
	})
}
