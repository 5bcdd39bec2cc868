//go:build soak

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/lib/ports"
	"github.com/lichenfall/lichenfall/submissions/fakebackend"
)

// process is an operating system process, which may be started again with the same arguments.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
}

// fault is an injected fault of a process or of the platform's stand-in.
type fault struct {
	kind  string // "kill", "pause", "stop" or "outage"
	role  string // "agent", "entry" or "platform"
	index int
	from  time.Time
	to    time.Time
}

// processes is the set of processes under test, and the faults injected into them.
type processes struct {
	t           *testing.T
	binary      string
	dir         string
	holders     []string
	entryURLs   []string
	backendURLs []string
	platformURL string
	agents      []*process
	entries     []*process

	mu       sync.Mutex
	faultLog []fault
	busy     map[string]bool
	wg       sync.WaitGroup
}

func startProcesses(t *testing.T) *processes {
	dir := t.TempDir()
	p := &processes{t: t, dir: dir, binary: filepath.Join(dir, "lichenfall"), busy: make(map[string]bool)}
	if out, err := exec.Command("go", "build", "-o", p.binary, "..").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	free, err := ports.Free(2*agents + 2*entries + 1)
	if err != nil {
		t.Fatal(err)
	}
	p.holders = free[:agents]
	p.platformURL = "http://" + free[2*agents+2*entries]
	p.start(&process{name: "platform", args: []string{"fake-platform", "--listen", free[2*agents+2*entries]}})
	for i := range agents {
		backend := free[agents+i]
		p.backendURLs = append(p.backendURLs, "http://"+backend)
		p.start(&process{name: fmt.Sprintf("backend-%d", i), args: []string{"fake-backend", "--listen", backend}})
		p.agents = append(p.agents, p.start(p.agentProcess(i)))
	}
	for i := range entries {
		p.entryURLs = append(p.entryURLs, "http://"+free[2*agents+i])
		p.entries = append(p.entries, p.start(p.entryProcess(i, free[2*agents+i], free[2*agents+entries+i])))
	}
	p.awaitReady()
	return p
}

func (p *processes) agentProcess(i int) *process {
	return p.withSettings("agent", i, map[string]any{
		"box":     map[string]any{"name": fmt.Sprintf("agent-%d", i)},
		"peers":   map[string]any{"listen": p.holders[i]},
		"claims":  map[string]any{"holders": p.holders},
		"backend": map[string]any{"url": p.backendURLs[i]},
		"log":     map[string]any{"level": "warn"},
	})
}

func (p *processes) entryProcess(i int, http, peers string) *process {
	return p.withSettings("entry", i, map[string]any{
		"box":      map[string]any{"name": fmt.Sprintf("entry-%d", i)},
		"http":     map[string]any{"listen": http},
		"peers":    map[string]any{"listen": peers},
		"claims":   map[string]any{"holders": p.holders},
		"jobs":     map[string]any{"teams": []string{"tabua"}, "pools": []string{"default"}},
		"platform": map[string]any{"url": p.platformURL},
		"log":      map[string]any{"level": "warn"},
	})
}

func (p *processes) withSettings(role string, i int, settings map[string]any) *process {
	text, err := json.Marshal(settings)
	if err != nil {
		p.t.Fatal(err)
	}
	file := filepath.Join(p.dir, fmt.Sprintf("%s-%d.hujson", role, i))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	return &process{name: fmt.Sprintf("%s-%d", role, i), args: []string{role, "--config", file}}
}

func (p *processes) start(proc *process) *process {
	log, err := os.OpenFile(filepath.Join(p.dir, proc.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	proc.cmd = exec.Command(p.binary, proc.args...)
	proc.cmd.Stdout, proc.cmd.Stderr = log, log
	if err := proc.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	cmd := proc.cmd
	p.t.Cleanup(func() { _ = cmd.Process.Kill() })
	return proc
}

func (p *processes) awaitReady() {
	for _, u := range p.entryURLs {
		for range 1000 {
			resp, err := http.Get(u + "/v1/state")
			if err == nil {
				var s struct{ Agents []struct{ Connected bool } }
				err = json.NewDecoder(resp.Body).Decode(&s)
				resp.Body.Close()
				n := 0
				for _, a := range s.Agents {
					if a.Connected {
						n++
					}
				}
				if err == nil && n == agents {
					break
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // until new IDs can be claimed: an agent grants no ID made before it started
}

// injectFaults injects one or two concurrent faults every few seconds, until ctx ends.
func (p *processes) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(float64(faultInterval) * (0.5 + rng.Float64())))
		for range 1 + rng.IntN(2) {
			p.wg.Add(1)
			do := p.drawFault(rng)
			go func() {
				defer p.wg.Done()
				do()
			}()
		}
	}
}

// drawFault chooses a fault, the process and the length of the fault at random, and returns a
// function that injects it.
func (p *processes) drawFault(rng *rand.Rand) func() {
	role, procs := "agent", p.agents
	if rng.IntN(3) == 0 {
		role, procs = "entry", p.entries
	}
	i := rng.IntN(len(procs))
	length := time.Duration(500+rng.IntN(4000)) * time.Millisecond
	switch rng.IntN(7) {
	case 0, 1:
		return func() { p.inject(role, i, "kill", func() { p.kill(procs[i], length) }) }
	case 2, 3:
		return func() { p.inject(role, i, "pause", func() { p.pause(procs[i], length) }) }
	case 4, 5:
		return func() { p.inject(role, i, "stop", func() { p.stop(procs[i], length) }) }
	}
	return func() { p.inject("platform", 0, "outage", func() { p.outage(2 * length) }) }
}

// inject runs do and records it as a fault, unless another fault of the same process is under way.
func (p *processes) inject(role string, i int, kind string, do func()) {
	name := fmt.Sprintf("%s-%d", role, i)
	p.mu.Lock()
	if p.busy[name] {
		p.mu.Unlock()
		return
	}
	p.busy[name] = true
	p.mu.Unlock()
	f := fault{kind: kind, role: role, index: i, from: time.Now()}
	do()
	f.to = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultLog = append(p.faultLog, f)
	p.busy[name] = false
}

func (p *processes) kill(proc *process, down time.Duration) {
	_ = proc.cmd.Process.Kill()
	_ = proc.cmd.Wait()
	time.Sleep(down)
	p.start(proc)
}

func (p *processes) pause(proc *process, d time.Duration) {
	_ = proc.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = proc.cmd.Process.Signal(syscall.SIGCONT)
}

func (p *processes) stop(proc *process, down time.Duration) {
	_ = proc.cmd.Process.Signal(syscall.SIGTERM)
	if err := proc.cmd.Wait(); err != nil {
		p.t.Errorf("%s ended its planned stop with %v", proc.name, err)
	}
	time.Sleep(down)
	p.start(proc)
}

func (p *processes) outage(d time.Duration) {
	p.platformFaults(`{"outage":true}`)
	time.Sleep(d)
	p.platformFaults(`{}`)
}

func (p *processes) platformFaults(body string) {
	resp, err := http.Post(p.platformURL+"/admin/faults", "application/json", strings.NewReader(body))
	if err != nil {
		p.t.Error(err)
		return
	}
	resp.Body.Close()
}

// awaitFaults waits until no fault is under way, and then for the timeout of a job.
func (p *processes) awaitFaults() {
	p.wg.Wait()
	time.Sleep(timeout)
}

// journal returns the number of starts of each task, by submission and task index, from the
// journals of all backend servers.
func (p *processes) journal() map[string]map[uint64]int {
	out := make(map[string]map[uint64]int)
	for _, u := range p.backendURLs {
		resp, err := http.Get(u + "/admin/journal")
		if err != nil {
			p.t.Fatal(err)
		}
		var starts []fakebackend.Start
		if err := json.NewDecoder(resp.Body).Decode(&starts); err != nil {
			p.t.Fatal(err)
		}
		resp.Body.Close()
		for _, s := range starts {
			if out[s.Submission] == nil {
				out[s.Submission] = make(map[uint64]int)
			}
			out[s.Submission][s.Task]++
		}
	}
	return out
}

// faultAftermath is how long after its end a fault may still affect requests.
const faultAftermath = 3 * time.Second

// interruptedBy returns the planned stop that must have interrupted a call, or an empty string. A
// call was interrupted by a planned stop if it got no answer or lost an agent or a backend server,
// and no process was killed or paused during the call or shortly before it. If no planned stop is on
// record either, the text states that.
func (p *processes) interruptedBy(c *call) string {
	lost := c.answer == nil || c.answer.Error != nil && (c.answer.Error.Kind == "agent_lost" || c.answer.Error.Kind == "backend_lost")
	if !lost {
		return ""
	}
	why := ""
	for _, f := range p.faultLog {
		if f.to.Add(faultAftermath).Before(c.sent) || f.from.After(c.ended) {
			continue
		}
		switch {
		case f.kind == "kill" || f.kind == "pause":
			return ""
		case c.answer == nil && f.role == "entry" && f.index == c.entry && c.sent.After(f.from):
			return "" // it was sent to an entry that had stopped listening
		case f.kind == "stop":
			why = fmt.Sprintf("%s %d at %s", f.role, f.index, f.from.Format(time.TimeOnly))
		}
	}
	if why == "" {
		return "no fault is recorded"
	}
	return why
}

// platformWasOut reports whether the time is within an injected outage of the platform.
func (p *processes) platformWasOut(at time.Time) bool {
	for _, f := range p.faultLog {
		if f.kind == "outage" && !at.Before(f.from) && !at.After(f.to) {
			return true
		}
	}
	return false
}

// countFaults returns the numbers of faults by kind and role, as text.
func (p *processes) countFaults() string {
	counts := make(map[string]int)
	for _, f := range p.faultLog {
		counts[f.kind+" of "+f.role]++
	}
	keys := make([]string, 0, len(counts))
	for k, n := range counts {
		keys = append(keys, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(keys)
	return strings.Join(keys, ", ")
}
