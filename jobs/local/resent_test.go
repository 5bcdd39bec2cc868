package local_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/fakebackend"
	"github.com/lichenfall/lichenfall/jobs/local"
	"github.com/lichenfall/lichenfall/lib/logging"
)

// TestResentJobAtOwnerOfItsPartition guards against two concurrent runs of a task: they came about
// if the caller of a best-effort job resent it to the owner of the partition of its ID while
// another coordinator ran it.
func TestResentJobAtOwnerOfItsPartition(t *testing.T) {
	const jobs, taskTime, announced = 24, 4 * time.Second, 2 * time.Second
	c, err := local.Start(local.Options{Coordinators: 3, Workers: 4, TaskTime: taskTime, Log: logging.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s := jobSystem{c}
	s.submitEach(t, 0, 1).Wait() // from here on all processes are up
	first := s.submitEach(t, 0, jobs)
	time.Sleep(announced) // the coordinator has announced the jobs to the others by then
	resent := []*sync.WaitGroup{s.submitEach(t, 1, jobs), s.submitEach(t, 2, jobs)}
	first.Wait()
	for _, calls := range resent {
		calls.Wait()
	}
	for task, n := range s.concurrentRuns() {
		t.Errorf("%v, of partition %d: %d concurrent runs", task, task.Job.Partition(8), n)
	}
}

// submitEach submits best-effort jobs of one task each to a coordinator, each one again and again
// until it is answered with its result. The WaitGroup is done once all are.
func (s jobSystem) submitEach(t *testing.T, at, jobs int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			body, err := json.Marshal(jobOf(jobs<<8+n, true, 1))
			if err != nil {
				t.Error(err)
				return
			}
			for deadline := time.Now().Add(waitLimit); !s.submitOnce(at, body); time.Sleep(100 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Errorf("job %d was not answered with a result", n)
					return
				}
			}
		}()
	}
	return &wg
}

// submitOnce submits a job, and returns whether it was answered with its result.
func (s jobSystem) submitOnce(at int, body []byte) bool {
	resp, err := http.Post(s.URLs[at]+"/v1/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// concurrentRuns returns the tasks that had several runs at the same time, over all backend
// servers, and the largest number of such runs of each.
func (s jobSystem) concurrentRuns() map[durable.TaskID]int {
	var all []fakebackend.Run
	for _, b := range s.Backends {
		all = append(all, b.Journal()...)
	}
	largest := make(map[durable.TaskID]int)
	for _, r := range all {
		n := 0
		for _, other := range all {
			began := other.Ref.Task == r.Ref.Task && !other.Began.After(r.Began)
			if began && other.OngoingAt(r.Began) {
				n++
			}
		}
		if n > 1 {
			largest[r.Ref.Task] = max(largest[r.Ref.Task], n)
		}
	}
	return largest
}
