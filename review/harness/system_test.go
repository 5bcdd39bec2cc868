//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lichenfall/lichenfall/lib/ports"
)

// Names of the configuration.
const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
)

// process is one process of the system under test.
type process struct {
	name     string
	command  []string
	dir      string
	settings string
	log      string

	mu       sync.Mutex
	cmd      *exec.Cmd
	wanted   bool
	exited   chan struct{}
	ownEnd   string
	rec      *record
	restarts int
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Dir = p.dir
	cmd.Env = []string{"LICHENFALL_SETTINGS=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	p.cmd, p.wanted, p.exited = cmd, true, make(chan struct{})
	p.rec.add("%s starts", p.name)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		if p.wanted && p.cmd == cmd {
			p.ownEnd = fmt.Sprintf("%s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(exited)
	}(p.exited)
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.wanted = false
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	p.rec.add("%s gets SIGKILL", p.name)
	_ = cmd.Process.Kill()
	<-exited
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	if s == syscall.SIGTERM {
		p.wanted = false
	}
	p.mu.Unlock()
	p.rec.add("%s gets %v", p.name, s)
	_ = cmd.Process.Signal(s)
}

// coordinator is a machine that clients reach.
type coordinator struct {
	*process
	front, ready string
	door         *door
}

// worker is the machine of an executor.
type worker struct {
	*process
	executor *executor
	proxy    *proxy // before its listener for the system's own machines
}

// system is a small deployment.
type system struct {
	root, dir    string
	rec          *record
	store        *store
	storeAddress string
	coordinators []*coordinator
	workers      []*worker
	runs         map[string][]string // commands of the deploy file, by role
	servers      []*http.Server
	proxies      []*proxy
}

func newSystem(root, dir string, rec *record) (*system, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	s := &system{root: root, dir: dir, rec: rec, store: newStore(rec), runs: make(map[string][]string)}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, m := range regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s+run = "([^"]+)"`).FindAllStringSubmatch(string(text), -1) {
		s.runs[m[1]] = strings.Fields(m[2])
	}
	if len(s.runs["coordinator"]) == 0 || len(s.runs["worker"]) == 0 {
		return nil, fmt.Errorf("the deploy file has no commands of coordinators and workers: %v", s.runs)
	}
	s.storeAddress, err = s.serve(s.store)
	return s, err
}

func (s *system) address() string {
	free, err := ports.Free(1)
	if err != nil {
		panic(err)
	}
	return free[0]
}

func (s *system) serve(h http.Handler) (string, error) {
	address := s.address()
	return address, s.serveAt(address, h)
}

func (s *system) serveAt(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ConnContext: withConnMade}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(ln) }()
	return nil
}

// configure has the operator write a configuration with one queue.
func (s *system) configure(version, maxAttempts int) {
	s.store.operator("config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "desk", "host": host, "path-prefix": prefix, "service": service, "priority": 0,
			"max-attempts": maxAttempts, "stretch": 1.6, "target-latency-ms": 60,
		}},
		"services": []map[string]any{{"name": service, "admission-check": true}},
		"limits":   map[string]any{"max-body-bytes": 262144},
	})
}

// newProcess writes the settings of a process: what the platform makes of the template of its role,
// with the address of a proxy in addition.
func (s *system) newProcess(role, name string, settings map[string]any) (*process, error) {
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.dir, name+".hujson")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	return &process{name: name, command: s.runs[role], dir: s.root, settings: file, log: filepath.Join(s.dir, name+".log"), rec: s.rec}, nil
}

func (s *system) addCoordinator() error {
	i := len(s.coordinators)
	name := fmt.Sprintf("front-%d", i+1)
	c := &coordinator{front: s.address(), ready: s.address(), door: &door{name: name, store: s.store}}
	storeAddress, err := s.serve(c.door)
	if err != nil {
		return err
	}
	c.process, err = s.newProcess("coordinator", name, map[string]any{
		"box":       map[string]any{"name": name, "data_centre": fmt.Sprintf("zone-%d", i%3+1)},
		"serving":   map[string]any{"listen": c.front, "ready": c.ready},
		"admin":     map[string]any{"listen": s.address()},
		"peers":     map[string]any{"listen": s.address()},
		"store":     map[string]any{"address": storeAddress},
		"scheduler": map[string]any{"partitions": storeParts, "store_writes": 800, "hold_lease": "1000ms", "keep_final": "120s", "load": map[string]any{"remote_factor": 1.5}},
		"copies":    map[string]any{"resend_after": "1300ms"},
		"process":   map[string]any{"memory_mib": 284, "grace": "6s"},
	})
	if err != nil {
		return err
	}
	s.coordinators = append(s.coordinators, c)
	return c.start()
}

func (s *system) addWorker(cpu int64, work func(string) time.Duration, cpuOf func(string) int64, labels ...string) error {
	i := len(s.workers)
	name := fmt.Sprintf("side-%d", i+1)
	e := &executor{name: name, control: s.address(), service: service, cpu: cpu, mem: 32768, work: work, cpuOf: cpuOf, rec: s.rec, closed: make(chan struct{})}
	var err error
	if e.address, err = s.serve(e); err != nil {
		return err
	}
	listen, reached := s.address(), s.address()
	w := &worker{executor: e}
	if w.proxy, err = newProxy(reached, listen); err != nil {
		return err
	}
	w.process, err = s.newProcess("worker", name, map[string]any{
		"box":     map[string]any{"name": name, "data_centre": fmt.Sprintf("zone-%d", i%3+1)},
		"admin":   map[string]any{"listen": s.address()},
		"peers":   map[string]any{"listen": listen, "advertise": reached},
		"store":   map[string]any{"address": s.storeAddress},
		"backend": map[string]any{"address": e.address, "listen": e.control},
		"runs":    map[string]any{"partitions": storeParts, "hold_lease": "1000ms"},
		"process": map[string]any{"memory_mib": 152, "grace": "6s"},
	})
	if err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	e.startLife(labels...)
	go e.keep()
	return w.start()
}

// awaitReady waits until all coordinators call themselves ready, and some time more so that all know
// all workers.
func (s *system) awaitReady() error {
	end := time.Now().Add(20 * time.Second)
	for _, c := range s.coordinators {
		for {
			resp, err := http.Get("http://" + c.ready + "/v1/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready after 20 s", c.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.rec.add("all coordinators are ready")
	time.Sleep(3 * time.Second)
	return nil
}

func (s *system) processes() []*process {
	var out []*process
	for _, c := range s.coordinators {
		out = append(out, c.process)
	}
	for _, w := range s.workers {
		out = append(out, w.process)
	}
	return out
}

func (s *system) unexpectedEnds() []string {
	var out []string
	for _, p := range s.processes() {
		p.mu.Lock()
		if p.ownEnd != "" {
			out = append(out, p.ownEnd)
		}
		p.mu.Unlock()
	}
	return out
}

// logs copies what the processes wrote to REVIEW_LOGS, if that is set.
func (s *system) logs() bool {
	to := os.Getenv("REVIEW_LOGS")
	if to == "" {
		return false
	}
	for _, p := range s.processes() {
		text, err := os.ReadFile(p.log)
		if err == nil {
			_ = os.WriteFile(filepath.Join(to, p.name+".log"), text, 0o600)
		}
	}
	return true
}

// close ends everything that was started.
func (s *system) close() {
	for _, p := range s.processes() {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
		}
		p.kill()
	}
	for _, w := range s.workers {
		close(w.executor.closed)
		_ = w.proxy.ln.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
