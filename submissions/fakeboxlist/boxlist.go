// Package fakeboxlist is a stand-in for the platform's service that lists the boxes. It owns all
// versions of the list that it was given, and injects faults on request: outages, slow responses
// and lists that lag behind.
package fakeboxlist

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/submissions/membership"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	Outage    bool    `json:"outage"`      // fail every request but those to /admin
	DelayMS   float64 `json:"delay_ms"`    // added to every response but those to /admin
	ListLagMS float64 `json:"list_lag_ms"` // until a change of the box list is visible
}

// List is a running stand-in.
type List struct {
	srv *web.Server

	mu       sync.Mutex
	faults   Faults
	versions []datedList // oldest first; the last one is current
}

// datedList is one version of the box list and when it was set.
type datedList struct {
	setAt time.Time
	list  membership.BoxList
}

// maxConns bounds the connections of clients: one for each entry, and those of the test.
const maxConns = 4096

// New starts a stand-in that listens on the address.
func New(listen string) (*List, error) {
	l := &List{}
	e := web.NewEcho()
	e.GET("/v1/boxes", l.withFaults(l.boxes))
	e.POST("/admin/faults", l.postFaults)
	e.POST("/admin/boxes", l.postBoxes)
	limits := web.DefaultLimits()
	limits.Conns = maxConns
	srv, err := web.Listen(listen, e, limits)
	if err != nil {
		return nil, err
	}
	l.srv = srv
	return l, nil
}

// URL returns the URL of the stand-in, without a path.
func (l *List) URL() string { return "http://" + l.srv.Addr() }

// Close stops the stand-in at once.
func (l *List) Close() { l.srv.Close() }

// SetFaults replaces the injected faults.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetBoxes replaces the box list. The new version is visible after the lag.
func (l *List) SetBoxes(boxes []membership.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version := uint64(1)
	if n := len(l.versions); n > 0 {
		version = l.versions[n-1].list.Version + 1
	}
	l.versions = append(l.versions, datedList{time.Now(), membership.BoxList{Version: version, Boxes: boxes}})
}

// withFaults returns a handler that applies the outage and the delay in force before h.
func (l *List) withFaults(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		l.mu.Lock()
		f := l.faults
		l.mu.Unlock()
		if f.Outage {
			return c.String(http.StatusServiceUnavailable, "outage\n")
		}
		time.Sleep(time.Duration(f.DelayMS * float64(time.Millisecond)))
		return h(c)
	}
}

// boxes responds with the visible list, or with status 304 if the client has that version.
func (l *List) boxes(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "after: not a version\n")
	}
	list := l.visible(time.Now())
	if list.Version == after {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, list)
}

// visible returns the newest list that is at least as old as the lag, or an empty list.
func (l *List) visible(now time.Time) membership.BoxList {
	l.mu.Lock()
	defer l.mu.Unlock()
	lag := time.Duration(l.faults.ListLagMS * float64(time.Millisecond))
	for i := len(l.versions) - 1; i >= 0; i-- {
		if now.Sub(l.versions[i].setAt) >= lag {
			return l.versions[i].list
		}
	}
	return membership.BoxList{}
}

func (l *List) postFaults(c echo.Context) error {
	var f Faults
	if ok, err := web.ReadJSON(c, &f); !ok {
		return err
	}
	l.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (l *List) postBoxes(c echo.Context) error {
	var boxes []membership.Box
	if ok, err := web.ReadJSON(c, &boxes); !ok {
		return err
	}
	l.SetBoxes(boxes)
	return c.NoContent(http.StatusNoContent)
}
