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

type seenTask struct {
	id      taskID
	at      time.Time
	started bool
}

// seenTasks records the accepted tasks, for a limited time and up to a limited
// number, so that a duplicate that arrives by another link is not started.
type seenTasks struct {
	limit   int
	window  time.Duration
	byID    map[taskID]*list.Element // of *seenTask
	order   *list.List               // oldest first
	evicted uint64
}

func newSeenTasks(limit int, window time.Duration) *seenTasks {
	return &seenTasks{limit: limit, window: window, byID: make(map[taskID]*list.Element), order: list.New()}
}

func (s *seenTasks) has(id taskID) bool {
	_, ok := s.byID[id]
	return ok
}

func (s *seenTasks) add(now time.Time, id taskID) {
	s.byID[id] = s.order.PushBack(&seenTask{id: id, at: now})
	if s.order.Len() > s.limit {
		s.removeOldest()
		s.evicted++
	}
}

// start records that the task is started. It returns false if the task was
// started before or is no longer recorded.
func (s *seenTasks) start(id taskID) bool {
	e, ok := s.byID[id]
	if !ok {
		return false
	}
	r := e.Value.(*seenTask)
	first := !r.started
	r.started = true
	return first
}

func (s *seenTasks) forget(id taskID) {
	e, ok := s.byID[id]
	if !ok {
		return
	}
	s.order.Remove(e)
	delete(s.byID, id)
}

func (s *seenTasks) expire(now time.Time) {
	for s.order.Len() > 0 && now.Sub(s.order.Front().Value.(*seenTask).at) > s.window {
		s.removeOldest()
	}
}

func (s *seenTasks) removeOldest() {
	s.forget(s.order.Front().Value.(*seenTask).id)
}
