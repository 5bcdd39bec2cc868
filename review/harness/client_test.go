//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client sees of a call; status is 0 if the connection broke or nothing came in time.
type answer struct {
	status int
	state  string
	body   string
}

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call makes one call of a client that waits as long as limit.
func (s *system) call(c *coordinator, method, path, body string, limit time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+c.front+prefix+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Time-Remaining", fmt.Sprint(limit.Milliseconds()))
	client := *clients
	client.Timeout = limit
	resp, err := client.Do(req)
	if err != nil {
		s.rec.add("%s %s%s at %s: no answer", method, prefix, path, c.name)
		return answer{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.rec.add("%s %s%s at %s: broke off", method, prefix, path, c.name)
		return answer{}
	}
	a := answer{status: resp.StatusCode, body: strings.TrimSpace(string(text))}
	var fields struct {
		State string `json:"state"`
	}
	if json.Unmarshal(text, &fields) == nil {
		a.state = fields.State
	}
	s.rec.add("%s %s%s at %s: %d %s", method, prefix, path, c.name, a.status, a.body)
	return a
}

// jobID returns the ID of the n-th job.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// submit sends a job until it is accepted.
func (s *system) submit(c *coordinator, id, body string) error {
	for range 20 {
		if a := s.call(c, http.MethodPost, id, body, 2*time.Second); a.status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// awaitStates asks for each job's state until all are final, at most until end, and returns the last
// answers.
func (s *system) awaitStates(c *coordinator, ids []string, end time.Time) map[string]answer {
	last := make(map[string]answer)
	for {
		open := 0
		for _, id := range ids {
			if a := last[id]; a.state == "completed" || a.state == "failed" || a.state == "cancelled" {
				continue
			}
			last[id] = s.call(c, http.MethodGet, id, "", 2*time.Second)
			if a := last[id]; a.state != "completed" && a.state != "failed" && a.state != "cancelled" {
				open++
			}
		}
		if open == 0 || time.Now().After(end) {
			return last
		}
		time.Sleep(300 * time.Millisecond)
	}
}
