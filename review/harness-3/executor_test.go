//go:build review

package harness3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Properties of executors, as the pages give them.
const (
	stopGrace     = 50 * time.Millisecond // a stop takes
	heartbeatGap  = 1500 * time.Millisecond
	maxListedEnds = 500
)

// resources are what an executor has or a task needs.
type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem-mb"`
}

// work is what a spec tells the stand-in: how long the task takes and what it needs.
type work struct {
	MS  int64 `json:"ms"`
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem-mb"`
}

// spec returns the text of a job's spec.
func (w work) spec() string {
	text, _ := json.Marshal(w)
	return string(text)
}

// runRow is one run that an executor has started.
type runRow struct {
	Task     string
	Run      uint32
	Executor string
	Labels   []string // of the executor
	Began    time.Time
	Ended    time.Time // zero while it runs
	How      string    // empty while it runs; "crashed" if the executor has
}

// executor is a stand-in for one executor: an address at which incarnations follow each other.
type executor struct {
	name    string
	control string
	address string
	labels  []string
	room    resources
	rec     *record
	holdMax time.Duration // longest lease
	// saysBorn says that its heartbeats and lists have the time of its start, as in the fleet.
	saysBorn bool
	// startTime is how long a start takes until it is answered.
	startTime time.Duration
	end       chan struct{}

	mu       sync.Mutex
	server   *http.Server // nil while it is down
	down     bool
	failing  bool // fails all that it starts
	starting int  // starts that are not answered yet
	life     int
	born     time.Time
	seq      uint64
	token    uint64
	lease    time.Duration // on its clock
	running  map[string]*activeRun
	highest  map[string]uint32 // by task: the highest run that ended or was stopped
	ended    []endRow
	lastEnd  uint64
	rows     []*runRow
	changed  chan struct{}
}

type activeRun struct {
	row    *runRow
	need   resources
	endsAt time.Time
	how    string
}

type endRow struct {
	n    uint64
	task string
	run  uint32
	how  string
}

func newExecutor(name, address, control string, labels []string, site siteSettings, rec *record) (*executor, error) {
	e := &executor{
		name: name, control: control, address: address, labels: labels, room: room, rec: rec,
		holdMax: site.holdMax, saysBorn: site.saysBorn, startTime: site.startTime,
		end: make(chan struct{}), changed: make(chan struct{}),
	}
	e.begin()
	if err := e.listen(); err != nil {
		return nil, err
	}
	go e.sendHeartbeats()
	go e.keepTime()
	return e, nil
}

// listen accepts calls.
func (e *executor) listen() error {
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e}
	e.server = server
	go func() { _ = server.Serve(ln) }()
	return nil
}

func (e *executor) close() {
	close(e.end)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		_ = e.server.Close()
	}
}

// begin begins an incarnation. The caller holds mu, or is the only one.
func (e *executor) begin() {
	e.life++
	e.born = time.Now().Add(-time.Second)
	e.seq, e.token, e.lease, e.lastEnd = 0, 0, 0, 0
	e.running, e.highest, e.ended = make(map[string]*activeRun), make(map[string]uint32), nil
}

func (e *executor) id() string { return fmt.Sprintf("i-%s-%d", e.name, e.life) }

func (e *executor) clock() time.Duration { return time.Since(e.born) }

// hasLabel returns whether the executor had the label when it started the run.
func (r *runRow) hasLabel(label string) bool { return slices.Contains(r.Labels, label) }

// crash ends the incarnation with all its runs; the next one is there after down.
func (e *executor) crash(down time.Duration) { e.crashAs(e.labels, down) }

// crashAs ends the incarnation; the next one has the labels.
func (e *executor) crashAs(labels []string, down time.Duration) {
	e.lose()
	time.Sleep(down)
	e.mu.Lock()
	e.begin()
	e.labels = labels
	e.down = false
	if err := e.listen(); err != nil {
		e.rec.add("unable", "%s cannot listen again: %v", e.name, err)
	}
	e.rec.add("back", "%s as %s, labels %v", e.name, e.id(), e.labels)
	e.mu.Unlock()
	e.beat()
}

// lose ends the incarnation with all its runs.
func (e *executor) lose() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.running {
		r.row.Ended, r.row.How = time.Now(), "crashed"
	}
	e.rec.add("crash", "%s with %d runs", e.name, len(e.running))
	e.down = true
	e.running = make(map[string]*activeRun)
	_ = e.server.Close() // the port is dead: connections are reset and refused
	e.server = nil
}

// setFailing makes the executor fail all that it starts, or work again.
func (e *executor) setFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
	e.rec.add("grey", "%s fails all that it starts: %t", e.name, failing)
}

// keepTime ends runs that are due.
func (e *executor) keepTime() {
	for {
		select {
		case <-e.end:
			return
		case <-time.After(2 * time.Millisecond):
		}
		e.mu.Lock()
		e.advance()
		e.mu.Unlock()
	}
}

// advance ends the runs that are due, and all if the lease is over. The caller holds mu.
func (e *executor) advance() {
	over := e.born.Add(e.lease)
	now := time.Now()
	for task, r := range e.running {
		switch {
		case !now.Before(r.endsAt) && !over.Before(r.endsAt):
			e.finish(task, r, r.how, r.endsAt)
		case now.After(over):
			e.finish(task, r, "lapsed", over)
		}
	}
}

func (e *executor) finish(task string, r *activeRun, how string, at time.Time) {
	delete(e.running, task)
	r.row.Ended, r.row.How = at, how
	e.highest[task] = max(e.highest[task], r.row.Run)
	e.lastEnd++
	e.ended = append(e.ended, endRow{e.lastEnd, task, r.row.Run, how})
	e.rec.add("end", "%s %s run %d %s", e.name, task, r.row.Run, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// runCall is the body of all calls to an executor.
type runCall struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	LastSeen uint64 `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// ServeHTTP serves the calls of the worker on the same box.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down, id := e.down, e.id()
	e.mu.Unlock()
	if down {
		hangUp(w)
		return
	}
	w.Header().Set("X-Instance-Id", id)
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c runCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var status int
	var answer map[string]any
	switch r.URL.Path {
	case "/v1/run-start":
		status, answer = e.start(&c)
		e.delayAnswer()
	case "/v1/run-stop":
		status, answer = e.stop(&c)
	case "/v1/hold":
		status, answer = e.hold(&c, r)
	default:
		status = http.StatusNotFound
	}
	e.mu.Lock()
	gone := e.down || e.id() != id
	e.mu.Unlock()
	if gone {
		hangUp(w)
		return
	}
	writeJSON(w, status, answer)
}

// delayAnswer waits until a start is answered.
func (e *executor) delayAnswer() {
	if e.startTime == 0 {
		return
	}
	e.mu.Lock()
	e.starting++
	e.mu.Unlock()
	time.Sleep(e.startTime)
	e.mu.Lock()
	e.starting--
	e.mu.Unlock()
}

// isStarting returns whether a start is not answered yet.
func (e *executor) isStarting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starting > 0
}

// answer returns an answer with the clock and, for a refusal, its reason. The caller holds mu.
func (e *executor) answer(status int, reason string) (int, map[string]any) {
	a := map[string]any{"clock-ms": e.clock().Milliseconds()}
	if reason != "" {
		a["reason"] = reason
	}
	return status, a
}

func (e *executor) extend(deadlineMS int64) {
	deadline := time.Duration(deadlineMS) * time.Millisecond
	e.lease = max(e.lease, min(deadline, e.clock()+e.holdMax))
}

func (e *executor) start(c *runCall) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if c.Token < e.token {
		return e.answer(http.StatusConflict, "fence")
	}
	e.token = c.Token
	if r := e.running[c.Task]; r != nil && r.row.Run == c.Run {
		return e.answer(http.StatusOK, "")
	}
	if time.Duration(c.Deadline)*time.Millisecond <= e.clock() {
		return e.answer(http.StatusConflict, "late")
	}
	e.extend(c.Deadline)
	var todo work
	if json.Unmarshal([]byte(c.Spec), &todo) != nil {
		return e.answer(http.StatusBadRequest, "")
	}
	need := resources{todo.CPU, todo.Mem}
	used := need
	for _, r := range e.running {
		used.CPU += r.need.CPU
		used.Mem += r.need.Mem
	}
	switch {
	case e.running[c.Task] != nil || c.Run <= e.highest[c.Task]:
		return e.answer(http.StatusConflict, "old")
	case used.CPU > e.room.CPU || used.Mem > e.room.Mem:
		return e.answer(http.StatusConflict, "room")
	}
	now := time.Now()
	row := &runRow{Task: c.Task, Run: c.Run, Executor: e.name, Labels: e.labels, Began: now}
	e.rows = append(e.rows, row)
	r := &activeRun{row: row, need: need, endsAt: now.Add(time.Duration(todo.MS) * time.Millisecond), how: "done"}
	if e.failing {
		r.endsAt, r.how = now.Add(20*time.Millisecond), "failed"
	}
	e.running[c.Task] = r
	e.rec.add("start", "%s %s run %d", e.name, c.Task, c.Run)
	return e.answer(http.StatusOK, "")
}

func (e *executor) stop(c *runCall) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if c.Token < e.token {
		return e.answer(http.StatusConflict, "fence")
	}
	e.token = c.Token
	if r := e.running[c.Task]; r != nil && r.row.Run <= c.Run {
		if at := time.Now().Add(stopGrace); at.Before(r.endsAt) {
			r.endsAt, r.how = at, "stopped"
		}
	}
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	return e.answer(http.StatusOK, "")
}

func (e *executor) hold(c *runCall, r *http.Request) (int, map[string]any) {
	until := time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for waiting := c.Wait > 0; ; {
		e.mu.Lock()
		e.advance()
		if c.Token < e.token {
			status, a := e.answer(http.StatusConflict, "fence")
			e.mu.Unlock()
			return status, a
		}
		e.token = c.Token
		if c.Deadline > 0 {
			e.extend(c.Deadline)
		}
		for len(e.ended) > 0 && e.ended[0].n <= c.LastSeen {
			e.ended = e.ended[1:]
		}
		if len(e.ended) > 0 || !waiting {
			status, a := e.lists()
			e.mu.Unlock()
			return status, a
		}
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
	}
}

// lists returns the answer with both lists. The caller holds mu.
func (e *executor) lists() (int, map[string]any) {
	status, a := e.answer(http.StatusOK, "")
	running, ended := make([][]any, 0, len(e.running)), make([][]any, 0, len(e.ended))
	for task, r := range e.running {
		total := max(1, r.endsAt.Sub(r.row.Began))
		running = append(running, []any{task, r.row.Run, "", 100 * time.Since(r.row.Began) / total})
	}
	for _, end := range e.ended[:min(len(e.ended), maxListedEnds)] {
		ended = append(ended, []any{end.n, end.task, end.run, end.how, ""})
	}
	a["running"], a["ended"] = running, ended
	if e.saysBorn {
		a["born"] = e.born.UnixMilli()
	}
	return status, a
}

func (e *executor) sendHeartbeats() {
	for {
		e.beat()
		select {
		case <-e.end:
			return
		case <-time.After(heartbeatGap):
		}
	}
}

// beat sends one heartbeat to the worker on the same box, if the executor is up.
func (e *executor) beat() {
	e.mu.Lock()
	e.seq++
	id, down := e.id(), e.down
	report := map[string]any{
		"service": service, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": e.room, "labels": e.labels, "clock-ms": e.clock().Milliseconds(), "seq-no": e.seq,
	}
	if e.saysBorn {
		report["born"] = e.born.UnixMilli()
	}
	body, _ := json.Marshal(report)
	e.mu.Unlock()
	if down {
		return
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+e.control+"/v1/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// runs returns copies of all runs that the executor has started of jobs with the prefix.
func (e *executor) runs(prefix string) []runRow {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	var out []runRow
	for _, row := range e.rows {
		if strings.HasPrefix(row.Task, prefix) {
			out = append(out, *row)
		}
	}
	return out
}

// busy returns the processor room that is in use, in thousandths of a core.
func (e *executor) busy() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	used := int64(0)
	for _, r := range e.running {
		used += r.need.CPU
	}
	return used
}

func hangUp(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = c.Close()
	}
}
