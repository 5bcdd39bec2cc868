package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/wire"
)

func (c *Coordinator) tick(now time.Time) {
	c.checkLease(now)
	c.giveUpUnannounced(now)
	c.handleDeferred(now)
	c.core.Tick(now)
	c.serving.Store(c.core.Serving(now) && c.copies.Ready(now))
	c.expireForwarded(now)
	c.announce(now)
	c.copies.Expire(now)
	if c.chooseAgain(now) {
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
		c.sendWorker(now, s)
	}
	for _, r := range e.Replies {
		c.answer(r)
	}
	for _, address := range e.Reconnect {
		c.reconnect(address)
	}
	if len(e.Crashes) > 0 {
		c.tellCoordinators(&wire.CrashNews{Crashes: e.Crashes})
	}
	for i := range e.Notes {
		c.logNote(now, &e.Notes[i])
	}
	for _, b := range e.Begun {
		c.metrics.JobBegun(b.Class, b.Waited)
	}
	for _, class := range e.Refused {
		c.metrics.JobRefused(class)
	}
	if e.Fenced || e.Confirm {
		c.joinSoon()
	}
}

func (c *Coordinator) sendWorker(now time.Time, s scheduler.ToWorker) {
	l := c.links[s.Worker]
	if l == nil || l.conn == nil || l.conn.Send(s.Message) != nil {
		c.core.SendFailed(now, s.Worker)
	}
}

// tellCoordinators sends a message to all other coordinators that are connected.
func (c *Coordinator) tellCoordinators(m wire.Message) {
	for _, l := range c.links {
		if l.role == wire.RoleCoordinator {
			c.sendPeer(l, m)
		}
	}
}

// sendPeer sends a message to another coordinator, if it is connected. One that
// cannot be sent is lost with its connection, of which linkDown tells; what it
// said is announced again when the connection is back.
func (c *Coordinator) sendPeer(l *link, m wire.Message) {
	if l.conn == nil {
		return
	}
	if err := l.conn.Send(m); err != nil {
		c.log.Debug("message_unsent", zap.Stringer("kind", m.WireKind()), zap.Error(err))
	}
}

func (c *Coordinator) logNote(now time.Time, n *scheduler.Note) {
	c.metrics.Decision(string(n.What))
	fields := fieldsOf(n)
	if n.Frequent {
		c.log.Sampled(now, string(n.What), fields...)
		return
	}
	c.log.Info(string(n.What), fields...)
}

// fieldsOf returns the fields of a note's line that apply.
func fieldsOf(n *scheduler.Note) []zap.Field {
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
	if n.Measure != "" {
		fields = append(fields, zap.Int64(string(n.Measure), n.Value))
	}
	if n.Limit != 0 {
		fields = append(fields, zap.Int64("limit", n.Limit))
	}
	if f := n.Forecast; f != nil {
		fields = append(fields,
			zap.Int("class", f.Class),
			zap.Int64("own_ms", f.Own.Milliseconds()),
			zap.Int64("others_ms", f.Others.Milliseconds()),
			zap.Int64("later_ms", f.Later.Milliseconds()),
			zap.Int64("known_ms", f.Age.Milliseconds()),
			zap.Int("unknown", f.Unknown))
	}
	return fields
}
