package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/wire"
)

// tick does what depends on the time alone: it checks time limits, announces and chooses workers.
func (c *Coordinator) tick(now time.Time) {
	c.checkLease(now)
	c.giveUpUnannounced(now)
	c.handleDeferred(now)
	c.core.Tick(now)
	c.serving.Store(c.core.Serving(now) && c.dedup.Ready(now))
	c.expireForwarded(now)
	c.announce(now)
	c.dedup.Expire(now)
	c.withdrawEnded()
	c.claims.Tick(now)
	if c.choiceDue(now) {
		c.chooseWorkers(now)
	}
}

// perform carries out the effects that the core has decided on.
func (c *Coordinator) perform(now time.Time) {
	c.checkLease(now)
	c.performClaims(now)
	e := c.core.Take(now)
	for _, commit := range e.Commits {
		c.append(commit)
	}
	for _, s := range e.Sends {
		c.sendWorker(now, s)
	}
	for _, r := range e.Replies {
		c.handleCoreReply(r)
	}
	for _, address := range e.Reconnect {
		c.reconnect(address)
	}
	if len(e.Crashes) > 0 {
		c.broadcast(&wire.CrashReport{Crashes: e.Crashes})
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
		c.requestJoin()
	}
}

func (c *Coordinator) sendWorker(now time.Time, s scheduler.ToWorker) {
	l := c.links[s.Worker]
	if l == nil || l.conn == nil || l.conn.Send(s.Message) != nil {
		c.core.SendFailed(now, s.Worker)
	}
}

// broadcast sends a message to all other coordinators that are connected.
func (c *Coordinator) broadcast(m wire.Message) {
	for _, l := range c.links {
		if l.role == wire.RoleCoordinator {
			c.sendCoordinator(l, m)
		}
	}
}

// sendCoordinator sends a message to another coordinator, if it is connected. If that fails the
// connection is lost: linkDown handles it, and the next connection begins with an announcement.
func (c *Coordinator) sendCoordinator(l *link, m wire.Message) {
	if l.conn == nil {
		return
	}
	if err := l.conn.Send(m); err != nil {
		c.log.Debug("message_unsent", zap.Stringer("kind", m.WireKind()), zap.Error(err))
	}
}

// logNote counts and logs a decision of the core.
func (c *Coordinator) logNote(now time.Time, n *scheduler.Note) {
	c.metrics.Decision(string(n.What))
	fields := noteFields(n)
	if n.Frequent {
		c.log.Sampled(now, string(n.What), fields...)
		return
	}
	c.log.Info(string(n.What), fields...)
}

// noteFields returns the log fields of a note that are set.
func noteFields(n *scheduler.Note) []zap.Field {
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
