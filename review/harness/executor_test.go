//go:build review

package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of an executor, as PROTOCOL.md and the settings give them.
const (
	holdMax        = time.Second // the longest lease
	listedEnds     = 500         // ends in one list; the others come again
	heartbeatEvery = 1500 * time.Millisecond
	lookEvery      = 2 * time.Millisecond
)

// life is one incarnation of an executor.
type life struct {
	id       string
	labels   []string
	born     time.Time
	token    uint64
	deadline int64 // of the lease, in ms on its clock
	running  map[runKey]*run
	barred   map[string]int // by task, the highest run that was stopped or has ended
	ended    []*run         // ends that are not forgotten, by number
	ends     int            // ends so far
	beats    int
}

type runKey struct {
	task string
	run  int
}

// run is one run of a task.
type run struct {
	runKey
	at       *executor
	life     string
	began    time.Time
	until    time.Time // when its work is done
	ended    time.Time // zero while it runs
	how      string
	number   int
	noted    time.Time // when a call's last-seen reached its end; zero before
	lapsed   bool      // the lease lapsed between its end and the note of it
	draining bool
}

// executor is a stand-in for one of the users' executors.
type executor struct {
	name    string
	address string
	control string
	service string
	cpu     int64
	mem     int64
	work    func(task string) time.Duration
	rec     *record
	began   func(*run) // called without the lock after a start

	mu     sync.Mutex
	life   *life // nil while it is down
	lives  int
	all    []*run
	cpuOf  func(task string) int64
	closed chan struct{}
}

// start begins a new incarnation.
func (e *executor) startLife(labels ...string) {
	e.mu.Lock()
	e.lives++
	e.life = &life{
		id: fmt.Sprintf("i-%s-%d", e.name, e.lives), labels: labels, born: time.Now().Add(-time.Minute),
		running: make(map[runKey]*run), barred: make(map[string]int),
	}
	e.rec.add("%s: incarnation %s begins, labels %v", e.name, e.life.id, labels)
	e.mu.Unlock()
	go e.beat()
}

// crash ends the incarnation with all that it runs, and says nothing.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	for _, r := range e.life.running {
		r.ended, r.how = time.Now(), "crashed"
	}
	e.rec.add("%s: incarnation %s crashes with %d runs", e.name, e.life.id, len(e.life.running))
	e.life = nil
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// keep ends runs when they are due, and sends heartbeats, until the executor is closed.
func (e *executor) keep() {
	look := time.NewTicker(lookEvery)
	beat := time.NewTicker(heartbeatEvery)
	defer look.Stop()
	defer beat.Stop()
	for {
		select {
		case <-e.closed:
			return
		case <-beat.C:
			go e.beat()
		case <-look.C:
			e.mu.Lock()
			if e.life != nil {
				e.advance()
			}
			e.mu.Unlock()
		}
	}
}

// beat sends a heartbeat to the worker. One that fails is followed by another soon.
func (e *executor) beat() {
	for range 40 {
		e.mu.Lock()
		l := e.life
		if l == nil {
			e.mu.Unlock()
			return
		}
		l.beats++
		body, err := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"capacity": map[string]any{"cpu": e.cpu, "mem-mb": e.mem, "gpu": 0}, "labels": l.labels, "clock-ms": l.clock(), "seq-no": l.beats,
		})
		url := "http://" + e.control + "/v1/Instances.Heartbeat/" + l.id
		e.mu.Unlock()
		if err != nil {
			panic(err)
		}
		resp, err := (&http.Client{Timeout: time.Second}).Post(url, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// advance ends the runs whose work is done, and all others once the lease is over.
func (e *executor) advance() {
	l, now := e.life, time.Now()
	expiry := l.born.Add(time.Duration(l.deadline) * time.Millisecond)
	due := make([]*run, 0, 8)
	for _, r := range l.running {
		if !now.Before(r.until) || now.After(expiry) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return a.until.Compare(b.until) })
	for _, r := range due {
		if r.until.After(expiry) {
			e.end(r, "lapsed", expiry)
		} else {
			e.end(r, "done", r.until)
		}
	}
	if now.After(expiry) {
		for _, r := range l.ended {
			r.lapsed = true
		}
	}
}

func (e *executor) end(r *run, how string, at time.Time) {
	l := e.life
	l.ends++
	r.ended, r.how, r.number = at, how, l.ends
	delete(l.running, r.runKey)
	l.barred[r.task] = max(l.barred[r.task], r.run)
	l.ended = append(l.ended, r)
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	l := e.life
	e.mu.Unlock()
	if l == nil {
		panic(http.ErrAbortHandler)
	}
	if x := r.Header.Get("X-Expected-Instance"); x != "" && x != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Instance-Id", l.id)
	var call struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline-ms"`
		Token    uint64 `json:"fencing-token"`
		LastSeen int    `json:"last-seen"`
		Wait     int64  `json:"wait-ms"`
	}
	if len(body) > 0 && json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
	case "/v1/run-start":
		e.start(w, l, runKey{call.Task, call.Run}, call.Token, call.Deadline)
	case "/v1/run-stop":
		e.stop(w, l, runKey{call.Task, call.Run}, call.Token)
	case "/v1/hold":
		e.hold(w, r, l, call.Token, call.Deadline, call.LastSeen, time.Duration(call.Wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (l *life) extend(deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clock()+holdMax.Milliseconds()))
}

func (l *life) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock-ms"] = l.clock()
	writeJSON(w, status, body)
}

func (e *executor) start(w http.ResponseWriter, l *life, key runKey, token uint64, deadline int64) {
	e.mu.Lock()
	if e.life != l {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	e.advance()
	reason := ""
	switch {
	case token < l.token:
		reason = "fence"
	case l.running[key] != nil:
	case key.run <= l.barred[key.task]:
		reason = "old"
	case deadline <= l.clock():
		reason = "late"
	case e.used()+e.cpuOf(key.task) > e.cpu:
		reason = "room"
	}
	if reason != "fence" {
		l.token = token
		if reason != "late" {
			l.extend(deadline)
		}
	}
	var begun *run
	if reason == "" && l.running[key] == nil {
		now := time.Now()
		begun = &run{runKey: key, at: e, life: l.id, began: now, until: now.Add(e.work(key.task))}
		l.running[key] = begun
		e.all = append(e.all, begun)
	}
	e.mu.Unlock()
	if begun != nil && e.began != nil {
		e.began(begun)
	}
	if reason != "" {
		l.answer(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	l.answer(w, http.StatusOK, map[string]any{})
}

func (e *executor) used() int64 {
	used := int64(0)
	for key := range e.life.running {
		used += e.cpuOf(key.task)
	}
	return used
}

func (e *executor) stop(w http.ResponseWriter, l *life, key runKey, token uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l {
		panic(http.ErrAbortHandler)
	}
	e.advance()
	if token < l.token {
		l.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	l.token = token
	if r := l.running[key]; r != nil {
		e.end(r, "stopped", time.Now())
	}
	l.barred[key.task] = max(l.barred[key.task], key.run)
	l.answer(w, http.StatusOK, map[string]any{})
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, l *life, token uint64, deadline int64, lastSeen int, wait time.Duration) {
	until := time.Now().Add(min(wait, 2*time.Second))
	for first := true; ; first = false {
		e.mu.Lock()
		if e.life != l {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		e.advance()
		if token < l.token {
			e.mu.Unlock()
			l.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		l.token = token
		if first {
			l.extend(deadline)
			e.forget(lastSeen)
		}
		if len(l.ended) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			break
		}
		e.mu.Unlock()
		time.Sleep(lookEvery)
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range l.running {
		percent := 100 * time.Since(x.began) / x.until.Sub(x.began)
		running = append(running, []any{x.task, x.run, "", int(min(percent, 99)), 0})
	}
	for _, x := range l.ended[:min(len(l.ended), listedEnds)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	e.mu.Unlock()
	l.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// forget drops the ends up to the number, which are noted thereby.
func (e *executor) forget(lastSeen int) {
	l := e.life
	for len(l.ended) > 0 && l.ended[0].number <= lastSeen {
		l.ended[0].noted = time.Now()
		l.ended = l.ended[1:]
	}
}

// runs returns copies of all runs so far.
func (e *executor) runs() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != nil {
		e.advance()
	}
	out := make([]run, 0, len(e.all))
	for _, r := range e.all {
		out = append(out, *r)
	}
	return out
}
