package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/submissions/job"
	"github.com/lichenfall/lichenfall/submissions/membership"
	"github.com/lichenfall/lichenfall/wire"
)

type eventKind uint8

const (
	evUp eventKind = iota
	evMessage
	evDown
	evSubmit
	evLookup
	evCallerGone
	evBoxes
	evStop
	evState
	evIDs
)

// event is one input of the control loop, posted by another goroutine. Which fields are set depends
// on the kind.
type event struct {
	kind    eventKind
	peer    string
	conn    *peer.Conn
	hello   *wire.Hello
	message wire.Message
	err     error
	caller  uint64
	answer  chan *job.Answer
	sub     *job.Submission
	id      string
	boxes   membership.BoxList
	state   chan<- State
	count   int
	ids     chan<- []string
}

func (e *Entry) tick(now time.Time) {
	e.core.Tick(now)
	for _, addr := range e.view.Expire(now).Drop {
		e.drop(addr)
	}
}

func (e *Entry) handle(now time.Time, ev event) {
	switch ev.kind {
	case evUp:
		e.linkUp(now, ev)
	case evMessage:
		e.core.HandleMessage(now, ev.peer, ev.message)
	case evDown:
		e.linkDown(now, ev)
	case evSubmit:
		e.callers[ev.caller] = ev.answer
		e.core.Submit(now, ev.caller, ev.sub)
	case evLookup:
		e.callers[ev.caller] = ev.answer
		e.core.Lookup(now, ev.caller, ev.id)
	case evCallerGone:
		delete(e.callers, ev.caller)
	case evBoxes:
		e.applyBoxes(now, ev.boxes)
	case evStop:
		e.core.Stop()
	case evIDs:
		ev.ids <- e.newIDs(ev.count)
	case evState:
		ev.state <- e.state()
	}
}

func (e *Entry) linkUp(now time.Time, ev event) {
	l := e.links[ev.peer]
	if l == nil {
		l = &link{stop: func() {}}
		e.links[ev.peer] = l
	}
	l.conn = ev.conn
	e.view.SetConnected(now, ev.peer, true)
	e.core.PeerUp(now, ev.peer, ev.hello)
	e.core.SetListedLeaving(ev.peer, e.view.ListedLeaving(ev.peer))
	e.log.Info("peer connected", zap.String("peer", ev.peer), zap.String("box", ev.hello.Box))
}

func (e *Entry) linkDown(now time.Time, ev event) {
	l := e.links[ev.peer]
	if l == nil {
		return
	}
	l.conn = nil
	if ev.inbound() {
		delete(e.links, ev.peer)
	}
	e.view.SetConnected(now, ev.peer, false)
	e.core.PeerDown(now, ev.peer)
	e.log.Info("peer lost", zap.String("peer", ev.peer), zap.Error(ev.err))
}

// perform carries out what the core has decided: it dials peers, sends messages and delivers
// answers.
func (e *Entry) perform(time.Time) {
	out := e.core.Take()
	for _, addr := range out.Dials {
		e.dial(addr)
	}
	for _, s := range out.Sends {
		if l := e.links[s.Peer]; l != nil && l.conn != nil {
			_ = l.conn.Send(s.Message) // if sending fails, the connection is lost and Down is called
		}
	}
	for _, d := range out.Deliveries {
		if answer, ok := e.callers[d.Caller]; ok {
			delete(e.callers, d.Caller)
			answer <- d.Answer
		}
	}
}
