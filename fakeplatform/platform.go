// Package fakeplatform is a stand-in for the platform's service: a log of
// streams with offsets, and a list of boxes. It limits appends, forgets old
// records, lags, and fails when told to: outages, slow answers, and answers
// lost after their effect.
package fakeplatform

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/lichenfall/lichenfall/logservice"
	"github.com/lichenfall/lichenfall/membership"
	"github.com/lichenfall/lichenfall/web"
)

// Faults is how the stand-in misbehaves.
type Faults struct {
	Outage     bool    `json:"outage"`      // every call but admin's fails
	DelayMS    float64 `json:"delay_ms"`    // added to every answer
	LoseAnswer float64 `json:"lose_answer"` // share of appends whose answer is lost after the effect
	ListLagMS  float64 `json:"list_lag_ms"` // before a change of the box list shows
}

// Settings are what does not change while it runs.
type Settings struct {
	Listen        string
	AppendsPerSec float64       // zero means 100
	Retention     time.Duration // zero means for good
	AppendTime    time.Duration // of a synced write
}

// Platform is a running stand-in.
type Platform struct {
	set Settings
	srv *web.Server
	lim *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	rng     *rand.Rand
	streams map[string]*stream
	lists   []listed // oldest first; the last one is the truth
}

type stream struct {
	first   uint64 // offset of the oldest record kept
	records []logservice.Record
}

type listed struct {
	at   time.Time
	list membership.BoxList
}

const (
	defaultAppends = 100
	maxRecord      = 1 << 20
	maxPage        = 1000
)

// New starts a stand-in; seed makes its random choices.
func New(s Settings, seed uint64) (*Platform, error) {
	if s.AppendsPerSec == 0 {
		s.AppendsPerSec = defaultAppends
	}
	p := &Platform{
		set:     s,
		lim:     rate.NewLimiter(rate.Limit(s.AppendsPerSec), int(s.AppendsPerSec)),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		streams: make(map[string]*stream),
	}
	e := web.NewEcho()
	e.POST("/v1/streams/:stream/records", p.guard(p.append))
	e.GET("/v1/streams/:stream/records", p.guard(p.read))
	e.GET("/v1/boxes", p.guard(p.boxes))
	e.POST("/admin/faults", p.postFaults)
	e.POST("/admin/boxes", p.postBoxes)
	limits := web.DefaultLimits()
	limits.Conns = 4096
	srv, err := web.Listen(s.Listen, e, limits)
	if err != nil {
		return nil, err
	}
	p.srv = srv
	return p, nil
}

// URL returns where it is reached.
func (p *Platform) URL() string { return "http://" + p.srv.Addr() }

// Close ends it at once.
func (p *Platform) Close() { p.srv.Close() }

// SetFaults changes how it misbehaves.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetBoxes changes the box list; it shows after the lag.
func (p *Platform) SetBoxes(boxes []membership.Box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := uint64(1)
	if n := len(p.lists); n > 0 {
		version = p.lists[n-1].list.Version + 1
	}
	p.lists = append(p.lists, listed{time.Now(), membership.BoxList{Version: version, Boxes: boxes}})
}

// guard applies outage and delay to a call.
func (p *Platform) guard(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.Outage {
			return c.String(http.StatusServiceUnavailable, "outage\n")
		}
		time.Sleep(time.Duration(f.DelayMS * float64(time.Millisecond)))
		return h(c)
	}
}

func (p *Platform) append(c echo.Context) error {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxRecord))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return c.String(http.StatusRequestEntityTooLarge, "record too large\n")
	}
	if err != nil {
		return err
	}
	if !p.lim.Allow() {
		return c.String(http.StatusTooManyRequests, "too many appends\n")
	}
	time.Sleep(p.set.AppendTime)
	offset, lose := p.add(time.Now(), c.Param("stream"), data)
	if lose {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, logservice.Appended{Offset: offset})
}

func (p *Platform) add(now time.Time, name string, data []byte) (offset uint64, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(now, name)
	offset = s.first + uint64(len(s.records))
	s.records = append(s.records, logservice.Record{Offset: offset, Time: now, Data: data})
	return offset, p.rng.Float64() < p.faults.LoseAnswer
}

// stream returns the stream without the records that are too old.
func (p *Platform) stream(now time.Time, name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{}
		p.streams[name] = s
	}
	for p.set.Retention > 0 && len(s.records) > 0 && now.Sub(s.records[0].Time) > p.set.Retention {
		s.records = s.records[1:]
		s.first++
	}
	return s
}

func (p *Platform) read(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "from: not an offset\n")
	}
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit < 1 {
		return c.String(http.StatusBadRequest, "limit: not a positive number\n")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(time.Now(), c.Param("stream"))
	next := s.first + uint64(len(s.records))
	if from < s.first {
		return c.JSON(http.StatusGone, logservice.Page{First: s.first, Next: next})
	}
	page := logservice.Page{First: s.first, Next: next}
	if from < next {
		kept := s.records[from-s.first:]
		page.Records = kept[:min(len(kept), limit, maxPage)]
	}
	return c.JSON(http.StatusOK, page)
}

func (p *Platform) boxes(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "after: not a version\n")
	}
	list := p.visible(time.Now())
	if list.Version == after {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, list)
}

// visible returns the newest list that is older than the lag.
func (p *Platform) visible(now time.Time) membership.BoxList {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := time.Duration(p.faults.ListLagMS * float64(time.Millisecond))
	for i := len(p.lists) - 1; i >= 0; i-- {
		if now.Sub(p.lists[i].at) >= lag {
			return p.lists[i].list
		}
	}
	return membership.BoxList{}
}

func (p *Platform) postFaults(c echo.Context) error {
	var f Faults
	if ok, err := web.Read(c, &f); !ok {
		return err
	}
	p.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) postBoxes(c echo.Context) error {
	var boxes []membership.Box
	if ok, err := web.Read(c, &boxes); !ok {
		return err
	}
	p.SetBoxes(boxes)
	return c.NoContent(http.StatusNoContent)
}
