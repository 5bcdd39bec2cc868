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

// TestCopyRunsBesideTheFirstAtTheOwnerOfItsPartition guards against two runs of a task at the
// same time where a copy of a best-effort job comes to the owner of the partition of its ID.
func TestCopyRunsBesideTheFirstAtTheOwnerOfItsPartition(t *testing.T) {
	const jobs, work, told = 24, 4 * time.Second, 2 * time.Second
	c, err := local.Start(local.Options{Coordinators: 3, Workers: 4, TaskTime: work, Log: logging.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s := jobSystem{c}
	s.submitEach(t, 0, 1).Wait() // all are up from here on
	first := s.submitEach(t, 0, jobs)
	time.Sleep(told) // the others have been told who has them
	copies := []*sync.WaitGroup{s.submitEach(t, 1, jobs), s.submitEach(t, 2, jobs)}
	first.Wait()
	for _, sent := range copies {
		sent.Wait()
	}
	for task, n := range s.runsAtOnce() {
		t.Errorf("%v, of partition %d: %d runs at once", task, task.Job.Partition(8), n)
	}
}

// submitEach submits so many best-effort jobs of a task each to one coordinator, again and again
// until each was answered with its end.
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
			for end := time.Now().Add(patience); !s.ended(at, body); time.Sleep(100 * time.Millisecond) {
				if time.Now().After(end) {
					t.Errorf("job %d has no end", n)
					return
				}
			}
		}()
	}
	return &wg
}

// ended submits a job, and returns whether it was answered with its end.
func (s jobSystem) ended(at int, body []byte) bool {
	resp, err := http.Post(s.URLs[at]+"/v1/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// runsAtOnce returns the tasks of which a run began while others were at work, over all backend
// servers, and how many were then.
func (s jobSystem) runsAtOnce() map[durable.TaskID]int {
	var all []fakebackend.Run
	for _, b := range s.Backends {
		all = append(all, b.Journal()...)
	}
	most := make(map[durable.TaskID]int)
	for _, r := range all {
		n := 0
		for _, other := range all {
			began := other.Ref.Task == r.Ref.Task && !other.Began.After(r.Began)
			if began && (other.Ended.IsZero() || other.Ended.After(r.Began)) {
				n++
			}
		}
		if n > 1 {
			most[r.Ref.Task] = max(most[r.Ref.Task], n)
		}
	}
	return most
}
