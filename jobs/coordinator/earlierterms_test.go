package coordinator

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/fakestore"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

// askingCoordinator is a connection of another coordinator, played by the test.
type askingCoordinator struct{ replies chan wire.Message }

func (askingCoordinator) Up(*peer.Conn, *wire.Hello)             {}
func (a askingCoordinator) Message(_ *peer.Conn, m wire.Message) { a.replies <- m }
func (askingCoordinator) Down(*peer.Conn, error)                 {}

// newest returns the epoch of the newest term that the store has of the only partition.
func (c *termCase) newest() uint64 {
	c.t.Helper()
	records, err := c.client.Store.NewestRecords(context.Background(), 0)
	if err != nil {
		c.t.Fatal(err)
	}
	terms, _ := durable.SplitTerms(records)
	if len(terms) == 0 {
		c.t.Fatal("the store names no owner")
	}
	return terms[len(terms)-1].Epoch
}

// TestOwnerThatTheStoreDoesNotAnswerEndsItsTerm guards against a former owner that goes on renewing the
// leases of its runs until its own lease is over, since the store does not tell it of its loss. Its
// successor, played by the test, asks it to end the term.
func TestOwnerThatTheStoreDoesNotAnswerEndsItsTerm(t *testing.T) {
	c := newTermCase(t)
	joins := c.client.Hold(fakestore.CallJoin)
	defer joins.Answer()
	defer joins.Arrive()
	asking := askingCoordinator{make(chan wire.Message, 100)}
	hello := func() *wire.Hello { return peer.NewHello(wire.RoleCoordinator, "other", "dc", "other", "127.0.0.1:1") }
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	up := make(chan *peer.Conn, 10)
	go peer.KeepConnected(ctx, c.peers.Advertised(), c.peerOpts, hello, upNotifier{asking, up})
	conn := <-up
	asked := &wire.EndTerms{Terms: []wire.PartitionEpoch{{Partition: 0, Epoch: c.newest()}}}
	if err := conn.Send(asked); err != nil {
		t.Fatal(err)
	}
	for {
		m, isReply := (<-asking.replies).(*wire.TermsEnded)
		if !isReply {
			continue
		}
		if len(m.Terms) != 1 || m.Terms[0] != asked.Terms[0] {
			t.Errorf("the reply is %v", m.Terms)
		}
		break
	}
	owned, _ := loop.Call(c.loop, func(answer chan<- int) event { return ownedRequested{answer} })
	if owned != 0 {
		t.Errorf("%d partitions are still owned", owned)
	}
}

// upNotifier hands on the connections that are made.
type upNotifier struct {
	askingCoordinator
	up chan<- *peer.Conn
}

func (u upNotifier) Up(conn *peer.Conn, _ *wire.Hello) { u.up <- conn }

// ownedRequested asks for the number of partitions that the core has.
type ownedRequested struct{ answer chan<- int }

func (e ownedRequested) apply(c *Coordinator, _ time.Time) { e.answer <- len(c.core.Partitions()) }

// askedFor asks which terms of others are to be ended.
type askedFor struct{ answer chan<- []durable.Term }

func (e askedFor) apply(c *Coordinator, _ time.Time) {
	e.answer <- slices.Clone(c.earlierTerms[0].terms)
}

// TestLaterTermIsNotEnded guards against a partition without an owner: a coordinator that a later owner has
// fenced between its own fence and its reading took that owner's term for an earlier one, and would have had
// it ended.
func TestLaterTermIsNotEnded(t *testing.T) {
	c := newTermCase(t)
	readings := c.client.Hold(fakestore.CallNewest)
	c.dealToOther("")
	c.dealBack()
	c.await("our reading", func() bool { return readings.Begun() == 1 })
	c.client.Pass(fakestore.CallNewest)
	records, err := c.client.Store.NewestRecords(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	terms, _ := durable.SplitTerms(records)
	ours := terms[len(terms)-1].Epoch
	later := durable.Term{Epoch: ours + 1, Address: "127.0.0.1:1"}
	if err := c.client.Store.Fence(context.Background(), 0, later.Epoch, durable.TermRecord(later)); err != nil {
		t.Fatal(err)
	}
	readings.Arrive()
	readings.Answer()
	// The term lasts until its first append is refused.
	var asked []durable.Term
	c.await("terms to be ended", func() bool {
		asked, _ = loop.Call(c.loop, func(answer chan<- []durable.Term) event { return askedFor{answer} })
		return len(asked) > 0
	})
	for _, term := range asked {
		if term.Epoch > ours {
			t.Errorf("term %d is to be ended by the owner of term %d", term.Epoch, ours)
		}
	}
}

// TestExpiredTermsAreNotAskedFor guards against a connection that is closed and made again for ever: the
// program that has taken an earlier owner's place may not know the message.
func TestExpiredTermsAreNotAskedFor(t *testing.T) {
	c := newStallCase(t)
	c.earlierTerms[0] = earlierTerms{[]durable.Term{{Epoch: 1, Address: "a"}}, c.now}
	c.askToEnd(c.now, "a")
	if len(c.earlierTerms) != 1 {
		t.Error("terms that may last are forgotten")
	}
	c.advance(time.Millisecond)
	c.askToEnd(c.now, "a")
	if len(c.earlierTerms) != 0 {
		t.Error("terms that have ended are still to be ended")
	}
}
