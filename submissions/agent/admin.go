package agent

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/submissions/backend"
)

// State is an agent's state as reported to operators by /v1/state.
type State struct {
	Box         string    `json:"box"`
	DataCentre  string    `json:"data_centre"`
	Incarnation string    `json:"incarnation"`
	Pool        string    `json:"pool"`
	Slots       int       `json:"slots"`
	Queued      int       `json:"queued"`
	Running     int       `json:"running"`
	Leaving     bool      `json:"leaving"`
	Links       int       `json:"links"`        // connected entries
	Claims      int       `json:"claims"`       // claims held
	ClaimsSince time.Time `json:"claims_since"` // IDs made before this time cannot be claimed here

	Usage backend.Usage `json:"usage"` // last report of the backend server; it lags behind
}

// adminServer is the HTTP server for operators.
type adminServer struct {
	srv *web.Server
}

func startAdmin(a *Agent) (*adminServer, error) {
	e := web.NewEcho()
	web.AddOperatorEndpoints(e, a.registry.Handler, a.log.Level)
	e.GET("/v1/state", func(c echo.Context) error { return c.JSON(http.StatusOK, a.currentState()) })
	e.GET("/ready", func(c echo.Context) error {
		if s := a.currentState(); s.Leaving {
			return c.String(http.StatusServiceUnavailable, "leaving\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.POST("/v1/leave", func(c echo.Context) error {
		a.loop.Post(event{kind: evLeave})
		return c.NoContent(http.StatusNoContent)
	})
	srv, err := web.Listen(a.cfg.Admin.Listen, e, web.DefaultLimits())
	if err != nil {
		return nil, err
	}
	return &adminServer{srv}, nil
}

func (s *adminServer) addr() string { return s.srv.Addr() }

func (s *adminServer) close() { s.srv.Close() }

// currentState reads the state in the control loop; an agent that has ended is reported as leaving.
func (a *Agent) currentState() State {
	s, ok := loop.Call(a.loop, func(answer chan<- State) event { return event{kind: evState, state: answer} })
	if !ok {
		return State{Leaving: true}
	}
	return s
}

func (a *Agent) state(now time.Time) State {
	load := a.queue.Load(0)
	claims, _ := a.claims.Len()
	return State{
		Box:         a.cfg.Box.Name,
		DataCentre:  a.cfg.Box.DataCentre,
		Incarnation: a.incarnation,
		Pool:        a.cfg.Backend.Pool,
		Slots:       a.cfg.Backend.Slots,
		Queued:      int(load.Queued),
		Running:     int(load.Running),
		Leaving:     load.Leaving,
		Links:       len(a.links),
		Claims:      claims,
		ClaimsSince: a.claims.MinTime(),
		Usage:       a.usage,
	}
}

// ClaimsSince returns the creation time from which on IDs can be claimed at this agent.
func (a *Agent) ClaimsSince() time.Time { return a.currentState().ClaimsSince }
