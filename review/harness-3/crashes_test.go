//go:build review

package harness3

import (
	"fmt"
	"time"
)

// Doses of srv_flap at the users' sites: one server in ten at most, for 6.5 s, with a period of 1.4 s.
const (
	flapFor    = 6500 * time.Millisecond
	flapPeriod = 1400 * time.Millisecond
)

// flappingServer: the only executor of the last rack goes down and up by turns. A durable job that requires
// the label of that rack must not be reported as failed: none of its runs ends failed.
func flappingServer(b *bed) ([]string, error) {
	last := b.executors[executors-1]
	todo := work{MS: 4000, CPU: 1600, Mem: 64}
	id := jobID()
	if err := b.submit(id, todo.spec(), todo.steps(1, rack(executors-1))); err != nil {
		return nil, err
	}
	if b.awaitRunning(id, 5*time.Second) == nil {
		return nil, fmt.Errorf("the job does not run")
	}
	time.Sleep(300 * time.Millisecond)
	for until := time.Now().Add(flapFor); b.trouble && time.Now().Before(until); time.Sleep(flapPeriod / 2) {
		last.crash(flapPeriod / 2)
	}
	var violations []string
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		state := b.state(id)
		if state == "completed" {
			break
		}
		if state == "failed" || state == "cancelled" {
			violations = append(violations, b.endedWithoutCause(id, state))
			break
		}
	}
	return violations, nil
}

// endedWithoutCause records the runs of the job, and returns what is wrong.
func (b *bed) endedWithoutCause(id, state string) string {
	failed := 0
	for _, r := range b.runs(id) {
		b.rec.add("seen", "%s run %d on %s from %.3f to %.3f: %s", r.Task, r.Run, r.Executor, b.rec.at(r.Began), b.rec.at(r.Ended), r.How)
		if r.How == "failed" {
			failed++
		}
	}
	return fmt.Sprintf("job %s is reported as %s; %d of its runs ended failed, max-attempts is 3", id, state, failed)
}
