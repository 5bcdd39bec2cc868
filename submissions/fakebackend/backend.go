// Package fakebackend is a stand-in for a backend server, for tests, experiments and the dev
// command. It runs tasks over HTTP as a real one would, by waiting for the task's time, and injects
// faults on request. It owns a journal of every start, which is independent of what agents and
// entries report.
package fakebackend

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/submissions/backend"
)

// Payload is the form of a task's payload that controls the stand-in. A payload of any other form
// takes the task time of the settings and is echoed.
type Payload struct {
	SleepMS *float64        `json:"sleep_ms"` // task time; if absent, that of the settings
	Echo    json.RawMessage `json:"echo"`     // the result; if absent, the whole payload
	Fail    bool            `json:"fail"`     // answer with status 500
	Hang    bool            `json:"hang"`     // answer only when the lease ends or the caller disconnects
	Close   bool            `json:"close"`    // close the connection instead of answering
	Size    int             `json:"size"`     // answer with a string of this length, in bytes
}

// Faults are the faults that the stand-in injects. Rates are shares of tasks, from 0 to 1.
type Faults struct {
	SlowFactor float64 `json:"slow_factor"` // multiplies the task time; values below 1 count as 1
	FailRate   float64 `json:"fail_rate"`
	HangRate   float64 `json:"hang_rate"`
	CloseRate  float64 `json:"close_rate"`
	FastFail   bool    `json:"fast_fail"` // fail at once, without the task time
}

// Settings are the settings that stay the same while the stand-in runs.
type Settings struct {
	Listen   string        // IP number and port
	TaskTime time.Duration // time of a task whose payload gives none
	Tail     float64       // share of such tasks that take ten times as long
	UsageLag time.Duration // age of the usage that is reported
}

// Start is one entry of the journal: the start of a task.
type Start struct {
	Submission string    `json:"submission"`
	Task       uint64    `json:"task"`
	At         time.Time `json:"at"`
}

// Backend is a running stand-in.
type Backend struct {
	cfg Settings
	srv *web.Server

	mu          sync.Mutex
	faults      Faults
	rng         *rand.Rand
	journal     []Start
	running     int
	peakRunning int
	reports     []backend.Usage // by time, oldest first
}

const (
	maxConns        = 1024                  // connections of clients
	usageInterval   = 50 * time.Millisecond // between two recorded reports of usage
	maxReports      = 1000                  // recorded reports that are kept
	taskMemoryBytes = 16 << 20              // reported for each running task
)

// New starts a stand-in. Its random choices follow from seed.
func New(s Settings, seed uint64) (*Backend, error) {
	b := &Backend{cfg: s, rng: rand.New(rand.NewPCG(seed, seed))}
	e := web.NewEcho()
	e.POST(backend.Path, b.run)
	e.GET(backend.UsagePath, b.usage)
	e.POST("/admin/faults", b.setFaults)
	e.GET("/admin/journal", func(c echo.Context) error { return c.JSON(http.StatusOK, b.Journal()) })
	limits := web.DefaultLimits()
	limits.Conns = maxConns
	srv, err := web.Listen(s.Listen, e, limits)
	if err != nil {
		return nil, err
	}
	b.srv = srv
	return b, nil
}

// URL returns the URL for agents, without a path.
func (b *Backend) URL() string { return "http://" + b.srv.Addr() }

// Close stops the stand-in at once.
func (b *Backend) Close() { b.srv.Close() }

// SetFaults replaces the injected faults. Tasks that have begun are not affected.
func (b *Backend) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Journal returns all starts so far, in their order.
func (b *Backend) Journal() []Start {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Start{}, b.journal...)
}

// PeakRunning returns the greatest number of tasks that ran at once.
func (b *Backend) PeakRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peakRunning
}

func (b *Backend) setFaults(c echo.Context) error {
	var f Faults
	if ok, err := web.ReadJSON(c, &f); !ok {
		return err
	}
	b.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (b *Backend) run(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	index, err := strconv.ParseUint(c.Request().Header.Get(backend.HeaderTask), 10, 32)
	if err != nil {
		return c.String(http.StatusBadRequest, "no task number\n")
	}
	b.taskStarted(Start{Submission: c.Request().Header.Get(backend.HeaderSubmission), Task: index, At: time.Now()})
	defer b.taskEnded()
	ctx, cancel := leaseContext(c)
	defer cancel()
	c.SetRequest(c.Request().WithContext(ctx))
	var p Payload
	if json.Unmarshal(body, &p) != nil {
		p = Payload{}
	}
	if p.Echo == nil {
		p.Echo = body
	}
	return b.respond(c, p)
}

// leaseContext returns a context that ends with the lease of the task, or when the caller
// disconnects.
func leaseContext(c echo.Context) (context.Context, context.CancelFunc) {
	ctx := c.Request().Context()
	ms, err := strconv.ParseInt(c.Request().Header.Get(backend.HeaderLease), 10, 64)
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// usage responds with the newest report that is at least UsageLag old, or with the oldest one if
// none is.
func (b *Backend) usage(c echo.Context) error {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.reports) > 1 && now.Sub(b.reports[1].At) >= b.cfg.UsageLag {
		b.reports = b.reports[1:]
	}
	if len(b.reports) == 0 {
		return c.JSON(http.StatusOK, backend.Usage{At: now})
	}
	return c.JSON(http.StatusOK, b.reports[0])
}

// recordUsage records the present usage, to be reported after the lag. A change within
// usageInterval of the last record updates that record. The caller holds mu.
func (b *Backend) recordUsage(now time.Time) {
	if n := len(b.reports); n > 0 && now.Sub(b.reports[n-1].At) < usageInterval {
		b.reports[n-1].Tasks = b.running
		b.reports[n-1].Cores = float64(b.running)
		return
	}
	b.reports = append(b.reports, backend.Usage{At: now, Tasks: b.running, Cores: float64(b.running), MemoryBytes: float64(b.running) * taskMemoryBytes})
	if len(b.reports) > maxReports {
		b.reports = b.reports[1:]
	}
}

// respond waits for the task's time and writes its result, with the faults in force.
func (b *Backend) respond(c echo.Context, p Payload) error {
	d, p := b.applyFaults(p)
	if p.Hang {
		<-c.Request().Context().Done()
		return c.String(http.StatusGatewayTimeout, "the lease lapsed\n")
	}
	if !sleepUnlessDone(c, d) {
		return c.String(http.StatusGatewayTimeout, "the lease lapsed\n")
	}
	switch {
	case p.Close:
		panic(http.ErrAbortHandler)
	case p.Fail:
		return c.String(http.StatusInternalServerError, "told to fail\n")
	case p.Size > 0:
		return c.JSON(http.StatusOK, string(make([]byte, p.Size)))
	}
	return c.JSONBlob(http.StatusOK, p.Echo)
}

// applyFaults returns the task's time and its payload with the faults in force added.
func (b *Backend) applyFaults(p Payload) (time.Duration, Payload) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.faults
	p.Fail = p.Fail || f.FastFail || b.rng.Float64() < f.FailRate
	p.Hang = p.Hang || b.rng.Float64() < f.HangRate
	p.Close = p.Close || b.rng.Float64() < f.CloseRate
	if f.FastFail {
		return 0, p
	}
	return time.Duration(float64(b.taskTime(p)) * max(1, f.SlowFactor)), p
}

// taskTime returns the time that the task takes without faults.
func (b *Backend) taskTime(p Payload) time.Duration {
	if p.SleepMS != nil {
		return time.Duration(*p.SleepMS * float64(time.Millisecond))
	}
	if b.rng.Float64() < b.cfg.Tail {
		return 10 * b.cfg.TaskTime
	}
	return b.cfg.TaskTime
}

// sleepUnlessDone waits for d; it returns false if the request's context ends first.
func sleepUnlessDone(c echo.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

func (b *Backend) taskStarted(s Start) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.journal = append(b.journal, s)
	b.running++
	b.peakRunning = max(b.peakRunning, b.running)
	b.recordUsage(s.At)
}

func (b *Backend) taskEnded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.recordUsage(time.Now())
}
