//go:build review

package harness3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/lichenfall/lichenfall/lib/ports"
)

// The deployment: three fronts, and thirteen executors in racks of three, so that the last rack has one,
// which is also the only one of kind b.
const (
	executors = 13
	rackSize  = 3
	service   = "claims-desk"
	host      = "desk.example"
	prefix    = "/jobs/"
)

// fronts is the number of coordinators; the case of a partial cut has four.
var fronts = 3

// siteSettings are what sites differ in.
type siteSettings struct {
	holdMax   time.Duration // hold-max-ms
	saysBorn  bool          // executors give `born`
	startTime time.Duration // that an executor takes to answer a start
}

var (
	smallSite = siteSettings{holdMax: time.Second}
	fleetSite = siteSettings{holdMax: 15 * time.Second, saysBorn: true, startTime: 5 * time.Millisecond}
)

// room is what an executor has, as at the smallest site.
var room = resources{CPU: 16000, Mem: 32768}

// process is one process of the project.
type process struct {
	name string
	args []string
	file string // settings
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// bed is a deployment with its stand-ins.
type bed struct {
	program   string
	rec       *record
	trouble   bool
	site      siteSettings
	dir       string
	store     *metaStore
	server    *http.Server
	fronts    []string
	ready     []string
	processes []*process // fronts first
	executors []*executor
	proxies   map[string]*proxy // before the listeners for peers, by process
	client    *http.Client
	closing   sync.Once
}

func newBed(program string, rec *record, trouble bool, site siteSettings) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	b := &bed{
		program: program, rec: rec, trouble: trouble, site: site, dir: dir, store: newMetaStore(),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		proxies: make(map[string]*proxy),
	}
	if err := b.begin(); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bed) begin() error {
	storeAddress, err := b.serveStore()
	if err != nil {
		return err
	}
	b.store.operator("config", map[string]any{"version": 1, "services": []any{}, "limits": map[string]any{}, "routes": []map[string]any{{
		"name": "desk", "host": host, "path-prefix": prefix, "service": service, "priority": 0, "max-attempts": 3, "stretch": 1.6, "target-latency-ms": 60,
	}}})
	for i := range fronts {
		if err := b.addFront(i, storeAddress); err != nil {
			return err
		}
	}
	for i := range executors {
		if err := b.addExecutor(i, storeAddress); err != nil {
			return err
		}
	}
	return b.awaitReady()
}

func (b *bed) serveStore() (string, error) {
	address, err := free()
	if err != nil {
		return "", err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	b.server = &http.Server{Handler: b.store}
	go func() { _ = b.server.Serve(ln) }()
	return address, nil
}

func free() (string, error) {
	a, err := ports.Free(1)
	if err != nil {
		return "", err
	}
	return a[0], nil
}

func zone(i int) string { return "z" + strconv.Itoa(1+i%3) }

// rack returns the label of the rack of the executor.
func rack(i int) string { return "r1-" + strconv.Itoa(1+i/rackSize) }

// addFront starts a coordinator with the settings that the template of the deploy file makes.
func (b *bed) addFront(i int, store string) error {
	addresses, err := ports.Free(3)
	if err != nil {
		return err
	}
	b.fronts, b.ready = append(b.fronts, addresses[0]), append(b.ready, addresses[1])
	name := frontBox(i)
	peers, err := b.peers(name)
	if err != nil {
		return err
	}
	return b.startNew(name, "coordinator", map[string]any{
		"box":     map[string]any{"name": name, "data_centre": zone(i)},
		"serving": map[string]any{"listen": addresses[0], "ready": addresses[1]},
		"admin":   map[string]any{"listen": addresses[2]},
		"peers":   peers,
		"store":   map[string]any{"address": store},
		"scheduler": map[string]any{
			"partitions": storeParts, "store_writes": 800, "hold_lease": b.holdLease(), "keep_final": "120s", "load": map[string]any{"remote_factor": 1.5},
		},
		"copies":  map[string]any{"resend_after": "1300ms"},
		"process": map[string]any{"memory_mib": 284, "grace": "6s"},
	})
}

// addExecutor starts an executor and the worker beside it.
func (b *bed) addExecutor(i int, store string) error {
	addresses, err := ports.Free(3)
	if err != nil {
		return err
	}
	name, kind := fmt.Sprintf("e%d", i+1), "a"
	if i == executors-1 {
		kind = "b"
	}
	peers, err := b.peers("side-" + name)
	if err != nil {
		return err
	}
	e, err := newExecutor(name, addresses[0], addresses[1], []string{kind, rack(i)}, b.site, b.rec)
	if err != nil {
		return err
	}
	b.executors = append(b.executors, e)
	return b.startNew("side-"+name, "worker", map[string]any{
		"box":     map[string]any{"name": "side-" + name, "data_centre": zone(i)},
		"admin":   map[string]any{"listen": addresses[2]},
		"peers":   peers,
		"store":   map[string]any{"address": store},
		"backend": map[string]any{"address": addresses[0], "listen": addresses[1]},
		"runs":    map[string]any{"partitions": storeParts, "hold_lease": b.holdLease()},
		"process": map[string]any{"memory_mib": 152, "grace": "6s"},
	})
}

func frontBox(i int) string { return fmt.Sprintf("front-%d", i+1) }

// peers returns the settings of a process's listener for the others, which reach it by a proxy.
func (b *bed) peers(name string) (map[string]any, error) {
	addresses, err := ports.Free(2)
	if err != nil {
		return nil, err
	}
	p, err := newProxy(addresses[1], addresses[0])
	if err != nil {
		return nil, err
	}
	b.proxies[name] = p
	return map[string]any{"listen": addresses[0], "advertise": addresses[1]}, nil
}

func (b *bed) holdLease() string { return fmt.Sprintf("%dms", b.site.holdMax.Milliseconds()) }

// startNew starts a process with the command of the deploy file.
func (b *bed) startNew(name, role string, settings map[string]any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	p := &process{name: name, args: []string{role}, file: filepath.Join(b.dir, name+".hujson"), log: filepath.Join(b.dir, name+".log")}
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		return err
	}
	b.processes = append(b.processes, p)
	return b.start(p)
}

func (b *bed) start(p *process) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(b.program, p.args...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "LICHENFALL_SETTINGS=" + p.file}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	b.rec.add("process", "%s starts", p.name)
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// kill kills a process and waits for its end.
func (b *bed) kill(p *process) {
	_ = p.cmd.Process.Kill()
	<-p.done
	b.rec.add("process", "%s killed", p.name)
}

// restart kills a process and starts it again after down.
func (b *bed) restart(p *process, down time.Duration) {
	b.kill(p)
	time.Sleep(down)
	if err := b.start(p); err != nil {
		b.rec.add("unable", "%s does not start again: %v", p.name, err)
	}
}

// awaitReady waits until all fronts are ready and serve a job on each executor's worker.
func (b *bed) awaitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, address := range b.ready {
			resp, err := b.client.Get("http://" + address + "/v1/readiness")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == fronts {
			b.rec.add("ready", "all fronts are ready")
			time.Sleep(3 * time.Second) // contact-ms: all machines are in touch
			return nil
		}
	}
	return fmt.Errorf("the fronts are not ready after 20 s")
}

// close ends all processes and stand-ins, and removes the folder.
func (b *bed) close() {
	b.closing.Do(func() {
		for _, p := range b.processes {
			if p.cmd != nil && p.cmd.Process != nil {
				_ = p.cmd.Process.Kill()
				<-p.done
			}
		}
		for _, e := range b.executors {
			e.close()
		}
		if b.server != nil {
			_ = b.server.Close()
		}
		for _, p := range b.proxies {
			p.close()
		}
		if keep := os.Getenv("KEEP"); keep != "" {
			_ = os.Rename(b.dir, keep)
			return
		}
		_ = os.RemoveAll(b.dir)
	})
}

// step is one step of a job.
type step struct {
	Count     uint32   `json:"count"`
	CPU       int64    `json:"cpu,omitempty"`
	Mem       int64    `json:"mem-mb,omitempty"`
	Estimate  int64    `json:"estimate-ms,omitempty"`
	Requires  string   `json:"requires,omitempty"`
	DependsOn []uint32 `json:"depends-on,omitempty"`
}

// steps returns one step of count tasks that do the work, with a true estimate.
func (w work) steps(count uint32, requires string) []step {
	return []step{{Count: count, CPU: w.CPU, Mem: w.Mem, Estimate: w.MS, Requires: requires}}
}

// jobID returns a random ID.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one call to a front. The status is 0 if there is no answer.
func (b *bed) call(front int, method, path string, body any) (status int, answer map[string]any) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+b.fronts[front]+prefix+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Time-Remaining", "1500")
	client := *b.client
	client.Timeout = 1500 * time.Millisecond
	resp, err := client.Do(req)
	if err != nil {
		b.rec.add("answer", "%s %s at front-%d: none", method, path, front+1)
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	_ = json.Unmarshal(raw, &answer)
	b.rec.add("answer", "%s %s at front-%d: %d %s", method, path, front+1, resp.StatusCode, bytes.TrimSpace(raw))
	return resp.StatusCode, answer
}

// submit submits a durable job, again after silence, 502 and 504, until it is accepted.
func (b *bed) submit(id, spec string, steps []step) error {
	for try := range 20 {
		status, _ := b.call(try%fronts, http.MethodPost, id, map[string]any{"spec": spec, "steps": steps})
		switch {
		case status >= 200 && status < 300:
			return nil
		case status == 0, status >= 502, status == http.StatusTooManyRequests:
			time.Sleep(200 * time.Millisecond)
		default:
			return fmt.Errorf("job %s was answered with %d", id, status)
		}
	}
	return fmt.Errorf("job %s was never accepted", id)
}

// state returns the state of a job as a front reports it, or "" without an answer with one.
func (b *bed) state(id string) string {
	for try := range fronts {
		if status, answer := b.call(try, http.MethodGet, id, nil); status == http.StatusOK {
			s, _ := answer["state"].(string)
			return s
		}
	}
	return ""
}

// runs returns all runs of the job on all executors.
func (b *bed) runs(id string) []runRow {
	var out []runRow
	for _, e := range b.executors {
		out = append(out, e.runs(id+".")...)
	}
	return out
}

// awaitRunning waits until a task of the job runs, and returns its executor; nil if none does in time.
func (b *bed) awaitRunning(id string, limit time.Duration) *executor {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, e := range b.executors {
			for _, r := range e.runs(id + ".") {
				if r.Ended.IsZero() {
					return e
				}
			}
		}
	}
	return nil
}
