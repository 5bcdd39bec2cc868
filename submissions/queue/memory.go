package queue

import (
	"container/list"
	"time"
)

// taskID identifies a task across all entries and links.
type taskID struct {
	submission string
	index      uint32
}

type remembered struct {
	id      taskID
	at      time.Time
	started bool
}

// memory remembers the tasks that were accepted, for a time and up to a
// number, so that a copy of one that comes by another way is not started.
type memory struct {
	limit   int
	window  time.Duration
	byID    map[taskID]*list.Element // of *remembered
	order   *list.List               // oldest first
	evicted uint64
}

func newMemory(limit int, window time.Duration) *memory {
	return &memory{limit: limit, window: window, byID: make(map[taskID]*list.Element), order: list.New()}
}

func (m *memory) has(id taskID) bool {
	_, ok := m.byID[id]
	return ok
}

func (m *memory) add(now time.Time, id taskID) {
	m.byID[id] = m.order.PushBack(&remembered{id: id, at: now})
	if m.order.Len() > m.limit {
		m.removeOldest()
		m.evicted++
	}
}

// start records that the task is started; false means that it was before, or
// is no longer remembered.
func (m *memory) start(id taskID) bool {
	e, ok := m.byID[id]
	if !ok {
		return false
	}
	r := e.Value.(*remembered)
	first := !r.started
	r.started = true
	return first
}

func (m *memory) forget(id taskID) {
	e, ok := m.byID[id]
	if !ok {
		return
	}
	m.order.Remove(e)
	delete(m.byID, id)
}

func (m *memory) expire(now time.Time) {
	for m.order.Len() > 0 && now.Sub(m.order.Front().Value.(*remembered).at) > m.window {
		m.removeOldest()
	}
}

func (m *memory) removeOldest() {
	m.forget(m.order.Front().Value.(*remembered).id)
}
