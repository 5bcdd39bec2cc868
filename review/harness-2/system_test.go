//go:build review

package harness2

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
)

// Ports of a machine, as in the users' example of settings.
const (
	frontPort   = 8161
	controlPort = 8166
	readyPort   = 8167
	appPort     = 9000
	storePort   = 8169
	firstPort   = 7720 // of port-range
	lastPort    = 7735
)

// machine is a machine of the system: an address of its own, a process, and what is beside it.
type machine struct {
	name, ip, role string
	dir            string
	cmd            *exec.Cmd
	ended          chan struct{}

	mu         sync.Mutex
	stopped    bool // it was told to end
	unexpected bool // it has ended by itself
}

// system is a small deployment: coordinators, workers with an executor each, and the store.
type system struct {
	dir          string
	net          string // first two parts of all addresses
	nextHost     int
	store        *metaStore
	storeAddress string
	coordinators []*machine
	workers      []*machine
	executors    []*executor
	version      int
	routes       []map[string]any
	rec          *record
	guarded      bool    // machines have doors, and coordinators gates
	doors        []*door // by machine, in the order in which they were added
	gates        []*gate // by coordinator
	holdMax      time.Duration
}

const (
	host   = "desk.example"
	prefix = "/claims/"
)

// newSystem returns a system whose store serves and has a configuration with one queue. Its files are
// in a temporary folder.
func newSystem(rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "lichenfall-review-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, net: freeNet(), store: newMetaStore(), rec: rec, holdMax: holdMax}
	s.storeAddress = s.host() + fmt.Sprintf(":%d", storePort)
	ln, err := net.Listen("tcp", s.storeAddress)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(ln) }()
	s.routes = []map[string]any{{
		"name": "claims", "host": host, "path-prefix": prefix, "service": "desk", "priority": 1, "max-attempts": 3, "stretch": 1.6, "target-latency-ms": 60,
	}}
	s.configure()
	return s, nil
}

// configure writes the next version of the configuration.
func (s *system) configure() {
	s.version++
	s.store.operate("config", map[string]any{
		"version": s.version, "routes": s.routes,
		"services": []map[string]any{{"name": "desk", "admission-check": true, "health-path": "/health", "max-connections": 64}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144},
	})
}

// freeNet returns the first two parts of loopback addresses that no program listens at.
func freeNet() string {
	for k := 0; ; k++ {
		n := fmt.Sprintf("127.%d", 60+(os.Getpid()+k)%180)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", n, storePort))
		if err == nil {
			_ = ln.Close()
			return n
		}
	}
}

func (s *system) host() string {
	s.nextHost++
	return fmt.Sprintf("%s.0.%d", s.net, s.nextHost)
}

// fields are the fields of DEPLOY.md's settings that the project's templates use.
func (s *system) fields(m *machine) map[string]string {
	return map[string]string{
		"node-name|json":          quote(m.name),
		"zone|json":               quote("z0"),
		"ip":                      m.ip,
		"port-range.0":            fmt.Sprint(firstPort),
		"port-range.1":            fmt.Sprint(lastPort),
		"bind-addrs.front|json":   quote(fmt.Sprintf("%s:%d", m.ip, frontPort)),
		"bind-addrs.ready|json":   quote(fmt.Sprintf("%s:%d", m.ip, readyPort)),
		"bind-addrs.control|json": quote(fmt.Sprintf("%s:%d", m.ip, controlPort)),
		"app|json":                quote(fmt.Sprintf("%s:%d", m.ip, appPort)),
		"platform.address|json":   quote(s.storeAddress),
		"platform.parts":          fmt.Sprint(storeParts),
		"platform.writes_per_s":   "800",
		"bounds.hold-max-ms":      fmt.Sprint(s.holdMax.Milliseconds()),
		"bounds.status_s":         "120",
		"bounds.remote-factor":    "1.5",
		"bounds.retransmit-ms":    "1300",
		"bounds.grace-s":          "6",
		"limits.memory-mb":        "284",
	}
}

func quote(text string) string {
	b, _ := json.Marshal(text)
	return string(b)
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	gap     = regexp.MustCompile(`\{\{([^}#/^]+)\}\}`)
)

// fill fills a template of the deploy file as DEPLOY.md says, as far as the project's templates go.
func fill(template string, fields map[string]string) string {
	out := section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		value, given := fields[parts[1]]
		if !given {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	return gap.ReplaceAllStringFunc(out, func(text string) string { return fields[text[2:len(text)-2]] })
}

func (s *system) newMachine(role string, n int) (*machine, error) {
	m := &machine{name: fmt.Sprintf("%s-%d", role, n), ip: s.host(), role: role, dir: s.dir}
	template, err := os.ReadFile(filepath.Join("platform", role+".hujson"))
	if err != nil {
		return nil, err
	}
	text := fill(string(template), s.fields(m))
	if s.guarded {
		if text, err = s.guard(m, text); err != nil {
			return nil, err
		}
	}
	return m, os.WriteFile(m.settings(), []byte(text), 0o600)
}

// guard puts a door in front of the machine's peers' address, and a gate before the store if it is a
// coordinator. It returns the settings with their addresses.
func (s *system) guard(m *machine, text string) (string, error) {
	d, err := newDoor(fmt.Sprintf("%s:%d", s.host(), firstPort), fmt.Sprintf("%s:%d", m.ip, firstPort))
	if err != nil {
		return "", err
	}
	s.doors = append(s.doors, d)
	text = strings.Replace(text, `"peers": {`, `"peers": {"advertise": `+quote(d.address)+`, `, 1)
	if m.role != "coordinator" {
		return text, nil
	}
	g, err := newGate(fmt.Sprintf("%s:%d", s.host(), storePort), s.store)
	if err != nil {
		return "", err
	}
	s.gates = append(s.gates, g)
	return strings.ReplaceAll(text, s.storeAddress, g.address), nil
}

func (m *machine) settings() string { return filepath.Join(m.dir, m.name+".hujson") }

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	out, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lichenfall", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "LICHENFALL_SETTINGS=" + m.settings()}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended, m.stopped = cmd, ended, false
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		m.mu.Lock()
		m.unexpected = m.unexpected || !m.stopped
		m.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal. With end set the process is expected to end, and signal waits for that.
func (m *machine) signal(sig syscall.Signal, end bool) {
	m.mu.Lock()
	m.stopped = m.stopped || end
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	_ = cmd.Process.Signal(sig)
	if end {
		<-ended
	}
}

func (s *system) addCoordinator() error {
	m, err := s.newMachine("coordinator", len(s.coordinators))
	if err != nil {
		return err
	}
	s.coordinators = append(s.coordinators, m)
	return m.start()
}

func (s *system) addWorker(capacity int64, labels ...string) error {
	m, err := s.newMachine("worker", len(s.workers))
	if err != nil {
		return err
	}
	e := newExecutor(fmt.Sprintf("executor-%d", len(s.workers)), fmt.Sprintf("%s:%d", m.ip, appPort), fmt.Sprintf("%s:%d", m.ip, controlPort), capacity, labels)
	s.workers, s.executors = append(s.workers, m), append(s.executors, e)
	if err := e.listen(); err != nil {
		return err
	}
	return m.start()
}

// awaitReady waits until all coordinators call themselves ready.
func (s *system) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range s.coordinators {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.ip, readyPort))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.coordinators) {
			return nil
		}
	}
	return fmt.Errorf("the coordinators are not ready after %v", limit)
}

func (s *system) machines() []*machine {
	return append(append([]*machine{}, s.coordinators...), s.workers...)
}

// close ends all processes. It returns the names of those that had ended by themselves.
func (s *system) close() (unexpected []string) {
	for _, m := range s.machines() {
		m.mu.Lock()
		if m.unexpected {
			unexpected = append(unexpected, m.name)
		}
		started := m.cmd != nil
		m.mu.Unlock()
		if started {
			m.signal(syscall.SIGCONT, false)
			m.signal(syscall.SIGKILL, true)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
	return unexpected
}

// runs returns all runs at all executors, as the executors saw them.
func (s *system) runs() []run {
	var out []run
	for _, e := range s.executors {
		out = append(out, e.runs()...)
	}
	return out
}
