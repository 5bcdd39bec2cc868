package scheduler

import "github.com/lichenfall/lichenfall/wire"

// Orders to one worker are sent in messages of limited size. A longer one would be refused by the
// connection, which would be closed, and the same orders would be sent again over the next one.
const (
	maxOrderBytes   = 32 << 10 // of the orders in one message; peers.max_frame is no less than twice this
	orderFixedBytes = 256      // at most, of an order without its texts
)

// orderList holds the runs that one round orders at one worker.
type orderList struct {
	messages []*wire.StartRuns
	bytes    int // at most, of the last message
}

// sendOrders sends a worker the messages of the list, which acknowledge its newest status.
func (c *Core) sendOrders(w *worker, l *orderList) {
	w.request.seenStamp = w.status.Stamp
	for _, m := range l.messages {
		w.startSeq++
		m.Seq = w.startSeq
		m.Seen = w.request.seenStamp
		c.send(w.name, m)
	}
}

// add adds an order, and returns the position of its message, from 1.
func (l *orderList) add(o wire.RunOrder) uint64 {
	size := orderFixedBytes + len(o.Spec) + len(o.Checkpoint)
	if len(l.messages) == 0 || l.bytes+size > maxOrderBytes {
		l.messages = append(l.messages, &wire.StartRuns{})
		l.bytes = 0
	}
	m := l.messages[len(l.messages)-1]
	m.Runs = append(m.Runs, o)
	l.bytes += size
	return uint64(len(l.messages))
}
