//go:build review

package harness3

import (
	"fmt"
	"time"
)

// lostWhileStarting: executors grant leases of 15 s and give the time of their start. One is lost for good
// while it begins a task. Durable jobs of one task each come before and after.
func lostWhileStarting(b *bed) ([]string, error) {
	const every = 10 * time.Millisecond
	todo := work{MS: 200, CPU: 1000, Mem: 64}
	var ids []string
	failures := make(chan error, 1000)
	send := func() {
		id := jobID()
		ids = append(ids, id)
		go func() { failures <- b.submit(id, todo.spec(), todo.steps(1, "")) }()
	}
	for range 150 {
		send()
		time.Sleep(every)
	}
	if b.trouble && !b.loseOneThatStarts(send) {
		return nil, fmt.Errorf("no executor was found that begins a task")
	}
	lost := time.Now()
	for range 50 {
		send()
		time.Sleep(every)
	}
	for range ids {
		if err := <-failures; err != nil {
			return nil, err
		}
	}
	return b.stalled(ids, todo, b.executors, lost.Add(4*time.Second), 25*time.Second), nil
}

// loseOneThatStarts loses the first executor for good that is seen to begin a task, while jobs are sent.
func (b *bed) loseOneThatStarts(send func()) bool {
	for range 100 {
		send()
		for until := time.Now().Add(10 * time.Millisecond); time.Now().Before(until); time.Sleep(500 * time.Microsecond) {
			for _, e := range b.executors {
				if e.isStarting() {
					e.lose()
					return true
				}
			}
		}
	}
	return false
}
