package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/wire"
)

type eventKind uint8

const (
	evJoined eventKind = iota
	evLoaded
	evLost
	evCommitted
	evMembers
	evUp
	evMessage
	evDown
	evCall
	evGone
	evDrain
	evMayLeave
	evLeft
)

// event is what other goroutines tell the control goroutine.
type event struct {
	kind       eventKind
	sent       time.Time
	assignment store.Assignment
	err        error
	partition  uint32
	epoch      uint64
	stored     map[durable.JobID]*durable.Stored
	result     scheduler.CommitResult
	members    []store.Member
	peer       string
	conn       *peer.Conn
	hello      *wire.Hello
	message    wire.Message
	inbound    bool
	call       *call
	flag       chan bool
}

func (c *Coordinator) handle(now time.Time, ev event) {
	switch ev.kind {
	case evJoined:
		c.joined(now, ev)
	case evLoaded:
		c.loaded(now, ev)
	case evLost:
		c.lost(now, ev)
	case evCommitted:
		c.committed(now, ev)
	case evMembers:
		c.membersChanged(now, ev.members)
	case evUp:
		c.linkUp(now, ev)
	case evMessage:
		c.message(now, ev)
	case evDown:
		c.linkDown(now, ev)
	case evCall:
		c.take(now, ev.call)
	case evGone:
		c.forget(now, ev.call)
	case evDrain:
		c.joinAt = now
		c.kickJoin()
	case evMayLeave:
		ev.flag <- c.mayLeave(now)
	case evLeft:
		c.left()
	}
}

func (c *Coordinator) committed(now time.Time, ev event) {
	if w := c.writers[ev.partition]; w == nil {
		return
	}
	c.core.Committed(now, ev.partition, ev.epoch, ev.result)
	if ev.result == scheduler.CommitFenced || ev.result == scheduler.CommitLost {
		c.lost(now, ev)
	}
}

func (c *Coordinator) tick(now time.Time) {
	c.checkLease(now)
	c.core.Tick(now)
	c.serving.Store(c.core.Serving(now))
	c.expireForwarded(now)
	c.tellCounts(now)
	if now.Sub(c.chosenAt) >= chooseEvery {
		c.chooseWorkers(now)
	}
}

// perform does what the core has decided.
func (c *Coordinator) perform(now time.Time) {
	e := c.core.Take(now)
	for _, commit := range e.Commits {
		if w := c.writers[commit.Partition]; w != nil {
			w.work <- commit
		}
	}
	for _, s := range e.Sends {
		c.sendTo(now, s)
	}
	for _, r := range e.Replies {
		c.answer(now, r)
	}
	for _, name := range e.Close {
		if l := c.links[name]; l != nil && l.conn != nil {
			l.conn.Close(errSilent)
			l.conn = nil
		}
	}
	for i := range e.Notes {
		c.logNote(now, &e.Notes[i])
	}
	if e.Fenced {
		c.kickJoin()
	}
}

func (c *Coordinator) sendTo(now time.Time, s scheduler.Send) {
	l := c.links[s.Worker]
	if l == nil || l.conn == nil || l.conn.Send(s.Message) != nil {
		c.core.SendFailed(now, s.Worker)
	}
}

func (c *Coordinator) logNote(now time.Time, n *scheduler.Note) {
	c.metrics.Decision(n.What)
	fields := make([]zap.Field, 0, 8)
	if n.Job != "" {
		fields = append(fields, zap.String("job", string(n.Job)))
	}
	if n.Task != "" {
		fields = append(fields, zap.String("task", n.Task), zap.Uint32("run", n.Run))
	}
	if n.Worker != "" {
		fields = append(fields, zap.String("worker", n.Worker))
	}
	if n.Reason != "" {
		fields = append(fields, zap.String("reason", n.Reason))
	}
	if n.Number != 0 {
		fields = append(fields, zap.Int64("number", n.Number))
	}
	if n.Bound != 0 {
		fields = append(fields, zap.Int64("bound", n.Bound))
	}
	if n.Usual {
		c.log.Usual(now, n.What, fields...)
		return
	}
	c.log.Info(n.What, fields...)
}
