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

// process is one real process, which may be started again with the same
// arguments.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
}

// fault is something done to a process or to the platform.
type fault struct {
	what  string // "kill", "pause", "stop" or "outage"
	role  string // "agent", "entry" or "platform"
	index int
	from  time.Time
	to    time.Time
}

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

	mu   sync.Mutex
	done []fault
	busy map[string]bool
	wg   sync.WaitGroup
}

func startAll(t *testing.T) *processes {
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
		p.agents = append(p.agents, p.start(p.agent(i)))
	}
	for i := range entries {
		p.entryURLs = append(p.entryURLs, "http://"+free[2*agents+i])
		p.entries = append(p.entries, p.start(p.entry(i, free[2*agents+i], free[2*agents+entries+i])))
	}
	p.awaitReady()
	return p
}

func (p *processes) agent(i int) *process {
	return p.configured("agent", i, map[string]any{
		"box":     map[string]any{"name": fmt.Sprintf("agent-%d", i)},
		"peers":   map[string]any{"listen": p.holders[i]},
		"claims":  map[string]any{"holders": p.holders},
		"backend": map[string]any{"url": p.backendURLs[i]},
		"log":     map[string]any{"level": "warn"},
	})
}

func (p *processes) entry(i int, http, peers string) *process {
	return p.configured("entry", i, map[string]any{
		"box":      map[string]any{"name": fmt.Sprintf("entry-%d", i)},
		"http":     map[string]any{"listen": http},
		"peers":    map[string]any{"listen": peers},
		"claims":   map[string]any{"holders": p.holders},
		"jobs":     map[string]any{"teams": []string{"tabua"}, "pools": []string{"default"}},
		"platform": map[string]any{"url": p.platformURL},
		"log":      map[string]any{"level": "warn"},
	})
}

func (p *processes) configured(role string, i int, settings map[string]any) *process {
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
	time.Sleep(2 * time.Second) // the holders' memory begins
}

// misbehave brings about a fault every few seconds, some of them together.
func (p *processes) misbehave(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(float64(faultEvery) * (0.5 + rng.Float64())))
		for range 1 + rng.IntN(2) {
			p.wg.Add(1)
			do := p.draw(rng)
			go func() {
				defer p.wg.Done()
				do()
			}()
		}
	}
}

// draw chooses a fault and all that is random about it.
func (p *processes) draw(rng *rand.Rand) func() {
	role, procs := "agent", p.agents
	if rng.IntN(3) == 0 {
		role, procs = "entry", p.entries
	}
	i := rng.IntN(len(procs))
	length := time.Duration(500+rng.IntN(4000)) * time.Millisecond
	switch rng.IntN(7) {
	case 0, 1:
		return func() { p.on(role, i, "kill", func() { p.kill(procs[i], length) }) }
	case 2, 3:
		return func() { p.on(role, i, "pause", func() { p.pause(procs[i], length) }) }
	case 4, 5:
		return func() { p.on(role, i, "stop", func() { p.stop(procs[i], length) }) }
	}
	return func() { p.on("platform", 0, "outage", func() { p.outage(2 * length) }) }
}

// on does something to a process that nothing else is being done to.
func (p *processes) on(role string, i int, what string, do func()) {
	name := fmt.Sprintf("%s-%d", role, i)
	p.mu.Lock()
	if p.busy[name] {
		p.mu.Unlock()
		return
	}
	p.busy[name] = true
	p.mu.Unlock()
	f := fault{what: what, role: role, index: i, from: time.Now()}
	do()
	f.to = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = append(p.done, f)
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

// settle waits until no fault is under way.
func (p *processes) settle() {
	p.wg.Wait()
	time.Sleep(timeout)
}

// journal returns the number of starts by submission and task.
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

// slackTime is how long after a fault its effects may still show.
const slackTime = 3 * time.Second

// cutOff returns why a request must have been cut off by a planned stop: it
// got no answer, or lost an agent, and nothing but planned stops happened to
// any process that it may have met.
func (p *processes) cutOff(c *told) string {
	lost := c.answer == nil || c.answer.Error != nil && (c.answer.Error.Kind == "agent_lost" || c.answer.Error.Kind == "backend_lost")
	if !lost {
		return ""
	}
	why := ""
	for _, f := range p.done {
		if f.to.Add(slackTime).Before(c.sent) || f.from.After(c.ended) {
			continue
		}
		switch {
		case f.what == "kill" || f.what == "pause":
			return ""
		case c.answer == nil && f.role == "entry" && f.index == c.entry && c.sent.After(f.from):
			return "" // it was sent to a box that had stopped listening
		case f.what == "stop":
			why = fmt.Sprintf("%s %d at %s", f.role, f.index, f.from.Format(time.TimeOnly))
		}
	}
	if why == "" {
		return "nothing that is known of"
	}
	return why
}

func (p *processes) platformOut(at time.Time) bool {
	for _, f := range p.done {
		if f.what == "outage" && !at.Before(f.from) && !at.After(f.to) {
			return true
		}
	}
	return false
}

func (p *processes) faults() string {
	counts := make(map[string]int)
	for _, f := range p.done {
		counts[f.what+" of "+f.role]++
	}
	keys := make([]string, 0, len(counts))
	for k, n := range counts {
		keys = append(keys, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(keys)
	return strings.Join(keys, ", ")
}
