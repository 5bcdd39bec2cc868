// Package fakeplatform is a stand-in for the service that tells entries which
// boxes there are. It lags behind, and fails when told to: outages and slow
// answers. It owns the list that it was given.
package fakeplatform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/submissions/membership"
)

// Faults is how the stand-in misbehaves.
type Faults struct {
	Outage    bool    `json:"outage"`      // every call but admin's fails
	DelayMS   float64 `json:"delay_ms"`    // added to every answer
	ListLagMS float64 `json:"list_lag_ms"` // before a change of the box list shows
}

// Platform is a running stand-in.
type Platform struct {
	srv *web.Server

	mu     sync.Mutex
	faults Faults
	lists  []listed // oldest first; the last one is the truth
}

type listed struct {
	at   time.Time
	list membership.BoxList
}

// maxConns bounds the connections of callers; chosen, not measured: one for each
// entry and each test at once.
const maxConns = 4096

// New starts a stand-in that listens on the address.
func New(listen string) (*Platform, error) {
	p := &Platform{}
	e := web.NewEcho()
	e.GET("/v1/boxes", p.guard(p.boxes))
	e.POST("/admin/faults", p.postFaults)
	e.POST("/admin/boxes", p.postBoxes)
	limits := web.DefaultLimits()
	limits.Conns = maxConns
	srv, err := web.Listen(listen, e, limits)
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
