// Package fakebackend is a stand-in for a backend server: it runs tasks over
// HTTP as a real one would, keeps an independent journal of every start, and
// misbehaves when told to. It serves tests, experiments and the dev command.
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

// Payload is what the stand-in looks for in a task's payload; a payload of any
// other shape is run with the settings' task time and echoed.
type Payload struct {
	SleepMS *float64        `json:"sleep_ms"` // task time; absent means that of the settings
	Echo    json.RawMessage `json:"echo"`     // what to answer; absent means the whole payload
	Fail    bool            `json:"fail"`     // answer with status 500
	Hang    bool            `json:"hang"`     // answer only when the caller leaves
	Close   bool            `json:"close"`    // close the connection instead of answering
	Size    int             `json:"size"`     // answer with a string of that length
}

// Faults is how the stand-in misbehaves. Rates are shares of tasks, 0 to 1.
type Faults struct {
	SlowFactor float64 `json:"slow_factor"` // of the task time; zero means 1
	FailRate   float64 `json:"fail_rate"`
	HangRate   float64 `json:"hang_rate"`
	CloseRate  float64 `json:"close_rate"`
	FastFail   bool    `json:"fast_fail"` // fail at once, without the task time
}

// Settings are what does not change while it runs.
type Settings struct {
	Listen   string        // IP number and port
	TaskTime time.Duration // mean time of a task that names none
	Tail     float64       // share of such tasks that take ten times as long
	UsageLag time.Duration // of usage reports
}

// Start is one line of the journal.
type Start struct {
	Submission string    `json:"submission"`
	Task       uint64    `json:"task"`
	At         time.Time `json:"at"`
}

// Backend is a running stand-in.
type Backend struct {
	set Settings
	srv *web.Server

	mu      sync.Mutex
	faults  Faults
	rng     *rand.Rand
	journal []Start
	running int
	most    int
	reports []backend.Usage // oldest first
}

const (
	maxConns   = 1024                  // of callers
	usageGrain = 50 * time.Millisecond // between two points of a usage report
	maxReports = 1000                  // points that are kept
	taskMemory = 16 << 20              // bytes that a task is said to use
)

// New starts a stand-in; seed makes its random choices.
func New(s Settings, seed uint64) (*Backend, error) {
	b := &Backend{set: s, rng: rand.New(rand.NewPCG(seed, seed))}
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

// URL returns where agents reach it.
func (b *Backend) URL() string { return "http://" + b.srv.Addr() }

// Close ends it at once.
func (b *Backend) Close() { b.srv.Close() }

// SetFaults changes how it misbehaves.
func (b *Backend) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Journal returns every start so far.
func (b *Backend) Journal() []Start {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Start{}, b.journal...)
}

// Most returns the greatest number of tasks that ran at once.
func (b *Backend) Most() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.most
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
	b.begin(Start{Submission: c.Request().Header.Get(backend.HeaderSubmission), Task: index, At: time.Now()})
	defer b.end()
	ctx, cancel := lease(c)
	defer cancel()
	c.SetRequest(c.Request().WithContext(ctx))
	var p Payload
	if json.Unmarshal(body, &p) != nil {
		p = Payload{}
	}
	if p.Echo == nil {
		p.Echo = body
	}
	return b.act(c, p)
}

// lease ends the task's time with the lease that it runs under.
func lease(c echo.Context) (context.Context, context.CancelFunc) {
	ctx := c.Request().Context()
	ms, err := strconv.ParseInt(c.Request().Header.Get(backend.HeaderLease), 10, 64)
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// usage reports how many tasks run, as of the lag before now.
func (b *Backend) usage(c echo.Context) error {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.reports) > 1 && now.Sub(b.reports[1].At) >= b.set.UsageLag {
		b.reports = b.reports[1:]
	}
	if len(b.reports) == 0 {
		return c.JSON(http.StatusOK, backend.Usage{At: now})
	}
	return c.JSON(http.StatusOK, b.reports[0])
}

// note keeps a report of the present for the time when it may be seen; one for
// each grain of time is enough. The caller holds mu.
func (b *Backend) note(now time.Time) {
	if n := len(b.reports); n > 0 && now.Sub(b.reports[n-1].At) < usageGrain {
		b.reports[n-1].Tasks = b.running
		b.reports[n-1].Cores = float64(b.running)
		return
	}
	b.reports = append(b.reports, backend.Usage{At: now, Tasks: b.running, Cores: float64(b.running), MemoryBytes: float64(b.running) * taskMemory})
	if len(b.reports) > maxReports {
		b.reports = b.reports[1:]
	}
}

func (b *Backend) act(c echo.Context, p Payload) error {
	d, p := b.plan(p)
	if p.Hang {
		<-c.Request().Context().Done()
		return c.String(http.StatusGatewayTimeout, "the lease lapsed\n")
	}
	if !sleep(c, d) {
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

// plan adds the faults in force to what the payload asks for.
func (b *Backend) plan(p Payload) (time.Duration, Payload) {
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

func (b *Backend) taskTime(p Payload) time.Duration {
	if p.SleepMS != nil {
		return time.Duration(*p.SleepMS * float64(time.Millisecond))
	}
	if b.rng.Float64() < b.set.Tail {
		return 10 * b.set.TaskTime
	}
	return b.set.TaskTime
}

func sleep(c echo.Context, d time.Duration) bool {
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

func (b *Backend) begin(s Start) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.journal = append(b.journal, s)
	b.running++
	b.most = max(b.most, b.running)
	b.note(s.At)
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.note(time.Now())
}
