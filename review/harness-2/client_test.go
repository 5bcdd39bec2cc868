//go:build review

package harness2

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// add writes a line with the time since the beginning in seconds.
func (r *record) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// step is one step of a job, as PROTOCOL.md has it.
type step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu,omitempty"`
	Memory     int64  `json:"mem-mb,omitempty"`
	EstimateMS int64  `json:"estimate-ms,omitempty"`
	DependsOn  []int  `json:"depends-on,omitempty"`
	Requires   string `json:"requires,omitempty"`
}

// job is a job of the clients and what became of it.
type job struct {
	id   string
	body []byte

	accepted   time.Time // when its 2xx arrived; zero before
	cancelled  time.Time // when its cancelling was acknowledged; zero if it was not
	lastAnswer string
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best-effort,omitempty"`
}

func newJob(b jobBody) *job {
	text, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), body: text}
}

// call makes one call of a client on a connection of its own. The status is 0 without an answer.
func (s *system) call(ctx context.Context, m *machine, method, rest string, body []byte, patience time.Duration) (status int, text string) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s%s", m.ip, frontPort, prefix, rest)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Time-Remaining", fmt.Sprint(patience.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "no answer"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "broken off"
	}
	return resp.StatusCode, strings.TrimSpace(string(answer))
}

// retransmit is the time after which a client sends a call again that had no answer.
const retransmit = 1300 * time.Millisecond

// submit hands a job in as a client does: after silence, a broken connection, 502, 503, 504 or 429 it
// tries again, at any node. It returns whether the job was accepted within the time given.
func (s *system) submit(j *job, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(retransmit) {
		m := s.coordinators[rand.IntN(len(s.coordinators))]
		status, text := s.call(context.Background(), m, http.MethodPost, j.id, j.body, 3*time.Second)
		s.rec.add("POST %s at %s: %d %s", j.id, m.name, status, text)
		if status/100 == 2 {
			j.accepted = time.Now()
			return true
		}
	}
	return false
}

// state asks for the state of a job until it is answered, at any node, and returns it.
func (s *system) state(j *job, limit time.Duration) string {
	for end := time.Now().Add(limit); ; time.Sleep(200 * time.Millisecond) {
		m := s.coordinators[rand.IntN(len(s.coordinators))]
		status, text := s.call(context.Background(), m, http.MethodGet, j.id, nil, 3*time.Second)
		j.lastAnswer = fmt.Sprintf("%d %s", status, text)
		var a struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &a) == nil {
			return a.State
		}
		if status == http.StatusGone {
			return "unknown"
		}
		if time.Now().After(end) {
			return "no answer"
		}
	}
}
