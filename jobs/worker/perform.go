package worker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/runtable"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/wire"
)

// perform carries out what the table has decided.
func (w *Worker) perform(now time.Time) {
	e := w.table.Take(now)
	w.updateOperatorsWatch(now)
	for _, s := range e.Sends {
		w.send(s)
	}
	for _, c := range e.Starts {
		go w.start(c)
	}
	for _, c := range e.Stops {
		go w.stop(c)
	}
	if e.Probe != nil {
		go w.probe(*e.Probe)
	}
	if e.Services {
		go w.readServices()
	}
	if e.Renew {
		w.renewSoon()
	}
	for i := range e.Notes {
		w.logNote(now, &e.Notes[i])
	}
}

// send sends a message to a coordinator. A message that cannot be sent is lost with its
// connection, whose end is posted as ownerDown; the coordinator queries its runs again after it
// has reconnected.
func (w *Worker) send(s runtable.ToOwner) {
	c := w.owners[s.Owner]
	if c == nil {
		return
	}
	if err := c.Send(s.Message); err != nil {
		w.log.Debug("message_unsent", zap.String("peer", c.Peer().Address), zap.Stringer("kind", s.Message.WireKind()), zap.Error(err))
	}
}

func (w *Worker) logNote(now time.Time, n *runtable.Note) {
	w.metrics.Decision(string(n.What))
	fields := make([]zap.Field, 0, 4)
	if n.Ref != (wire.RunRef{}) {
		fields = append(fields, zap.String("task", n.Ref.Task.String()), zap.Uint32("run", n.Ref.Run))
	}
	if n.Reason != "" {
		fields = append(fields, zap.String("reason", n.Reason))
	}
	if n.Runs > 0 {
		fields = append(fields, zap.Int("runs", n.Runs))
	}
	if n.Factor > 0 {
		fields = append(fields, zap.Uint32("time_factor_percent", n.Factor), zap.Uint32("before_percent", n.FactorBefore))
	}
	if n.Frequent {
		w.log.Sampled(now, string(n.What), fields...)
		return
	}
	w.log.Info(string(n.What), fields...)
}

// retryPause is the pause after a call to the backend server that was not answered.
const retryPause = 20 * time.Millisecond

func (w *Worker) start(c runtable.StartCall) {
	ctx, cancel := context.WithTimeout(w.ctx, w.cfg.Runs.CallLimit.D())
	result := w.backend.Start(ctx, c)
	cancel()
	if result == runtable.StartUnknown {
		loop.Sleep(w.ctx, retryPause)
	}
	w.loop.Post(startAnswered{c, result})
}

func (w *Worker) stop(c runtable.StopCall) {
	ctx, cancel := context.WithTimeout(w.ctx, w.cfg.Runs.CallLimit.D())
	answered := w.backend.Stop(ctx, c)
	cancel()
	if !answered {
		loop.Sleep(w.ctx, retryPause)
	}
	w.loop.Post(stopAnswered{c, answered})
}

// probe checks whether the backend server is the incarnation that the call names.
func (w *Worker) probe(c runtable.RenewCall) {
	result := w.renew(c).Result
	if result == runtable.RenewUnanswered {
		loop.Sleep(w.ctx, retryPause)
	}
	w.loop.Post(probeAnswered{c, result})
}
