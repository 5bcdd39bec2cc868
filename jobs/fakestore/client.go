package fakestore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
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
)

// Client is the store as one process reaches it. Calls of each kind can be held up on their way to
// the store and on their way back, so that they arrive late, and answers in any order. It implements
// store.Store and is safe for concurrent use.
type Client struct {
	*Store
	mu    sync.Mutex
	holds map[Call]*Held // of the calls that begin now
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

// do carries out a call, which is held up if a Hold of its kind is in force.
func (c *Client) do(kind Call, call func() error) error {
	c.mu.Lock()
	h := c.holds[kind]
	c.mu.Unlock()
	if h == nil {
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
	err = c.do(CallJoin, func() (err error) {
		a, err = c.Store.Join(ctx, member, generation, ttl)
		return err
	})
	return a, err
}

// Fence implements store.Store.
func (c *Client) Fence(ctx context.Context, partition uint32, epoch uint64) error {
	return c.do(CallFence, func() error { return c.Store.Fence(ctx, partition, epoch) })
}

// Append implements store.Store.
func (c *Client) Append(ctx context.Context, partition uint32, epoch, number uint64, records []durable.Record) error {
	return c.do(CallAppend, func() error { return c.Store.Append(ctx, partition, epoch, number, records) })
}

// NewestRecords implements store.Store.
func (c *Client) NewestRecords(ctx context.Context, partition uint32) (records []durable.Record, err error) {
	err = c.do(CallNewest, func() (err error) {
		records, err = c.Store.NewestRecords(ctx, partition)
		return err
	})
	return records, err
}
