// Package web holds what the HTTP sides of all daemons share: a server with
// bounds against slow and greedy clients, the operators' endpoints, and reading a
// request's body. It owns the listening socket of each Server.
package web

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"
	"golang.org/x/net/netutil"
)

// Limits bounds what clients may take.
type Limits struct {
	Header        int           // bytes
	HeaderTimeout time.Duration // to send a header
	BodyTimeout   time.Duration // to send header and body
	IdleTimeout   time.Duration // between requests on a connection
	Conns         int           // connections at once
}

// DefaultLimits returns bounds that suit operators' endpoints.
func DefaultLimits() Limits {
	return Limits{
		Header:        16 << 10,
		HeaderTimeout: 2 * time.Second,
		BodyTimeout:   10 * time.Second,
		IdleTimeout:   2 * time.Minute,
		Conns:         200,
	}
}

// Server is a listening HTTP server.
type Server struct {
	srv *http.Server
	ln  net.Listener
}

// NewEcho returns an echo that logs and prints nothing by itself.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// Listen serves h on addr until Close.
func Listen(addr string, h http.Handler, l Limits) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout,
		ReadTimeout:       l.BodyTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.Header,
	}
	// Serve ends with Close or Drain, whose callers know.
	go func() { _ = srv.Serve(netutil.LimitListener(ln, l.Conns)) }()
	return &Server{srv: srv, ln: ln}, nil
}

// Addr returns the address listened on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Drain stops listening and waits until the requests in flight are answered,
// or ctx ends.
func (s *Server) Drain(ctx context.Context) error { return errs.Wrap(s.srv.Shutdown(ctx)) }

// Close stops the server at once.
func (s *Server) Close() { _ = s.srv.Close() }

// AddOperatorEndpoints adds the endpoints that every daemon has: health, metrics, and the
// log level (GET, or PUT {"level":"debug"}).
func AddOperatorEndpoints(e *echo.Echo, metrics, level http.Handler) {
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/metrics", echo.WrapHandler(metrics))
	e.Any("/v1/log-level", echo.WrapHandler(level))
}

// ReadJSON reads the JSON body of a request into v. When it cannot, it has answered
// the request, and ok is false.
func ReadJSON(c echo.Context, v any) (ok bool, err error) {
	if err := json.NewDecoder(c.Request().Body).Decode(v); err != nil {
		return false, c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	return true, nil
}
