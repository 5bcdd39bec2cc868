// Package fakeboxlist is a stand-in for the service that tells entries which
// boxes there are. It lags behind, and fails when told to: outages and slow
// answers. It owns the list that it was given.
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

// Faults is how the stand-in misbehaves.
type Faults struct {
	Outage    bool    `json:"outage"`      // every call but admin's fails
	DelayMS   float64 `json:"delay_ms"`    // added to every answer
	ListLagMS float64 `json:"list_lag_ms"` // before a change of the box list shows
}

// List is a running stand-in.
type List struct {
	srv *web.Server

	mu     sync.Mutex
	faults Faults
	lists  []listed // oldest first; the last one is the truth
}

type listed struct {
	at   time.Time
	list membership.BoxList
}

// maxConns bounds the connections of callers; one for each entry and each test at once.
const maxConns = 4096

// New starts a stand-in that listens on the address.
func New(listen string) (*List, error) {
	l := &List{}
	e := web.NewEcho()
	e.GET("/v1/boxes", l.guard(l.boxes))
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

// URL returns where it is reached.
func (l *List) URL() string { return "http://" + l.srv.Addr() }

// Close ends it at once.
func (l *List) Close() { l.srv.Close() }

// SetFaults changes how it misbehaves.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetBoxes changes the box list; it shows after the lag.
func (l *List) SetBoxes(boxes []membership.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version := uint64(1)
	if n := len(l.lists); n > 0 {
		version = l.lists[n-1].list.Version + 1
	}
	l.lists = append(l.lists, listed{time.Now(), membership.BoxList{Version: version, Boxes: boxes}})
}

// guard applies outage and delay to a call.
func (l *List) guard(h echo.HandlerFunc) echo.HandlerFunc {
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

// visible returns the newest list that is older than the lag.
func (l *List) visible(now time.Time) membership.BoxList {
	l.mu.Lock()
	defer l.mu.Unlock()
	lag := time.Duration(l.faults.ListLagMS * float64(time.Millisecond))
	for i := len(l.lists) - 1; i >= 0; i-- {
		if now.Sub(l.lists[i].at) >= lag {
			return l.lists[i].list
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
