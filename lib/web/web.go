// Package web has what the HTTP servers of all daemons share: limits against slow clients and large
// requests, the endpoints for operators, and reading of request bodies. It owns the listening socket
// of each Server, and relies on its callers for the handlers.
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

// Limits are the limits of a Server on its clients.
type Limits struct {
	Header        int           // size of a request's header, in bytes
	HeaderTimeout time.Duration // for reading a request's header
	BodyTimeout   time.Duration // for reading a request's header and body
	IdleTimeout   time.Duration // between two requests on a connection
	Conns         int           // number of connections; others wait to be accepted
}

// DefaultLimits returns limits that suit the endpoints for operators.
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

// NewEcho returns an echo.Echo that prints nothing when it starts.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// Listen serves h on addr until Drain or Close.
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
	// The error is ignored: Serve returns one after each Close and Drain.
	go func() { _ = srv.Serve(netutil.LimitListener(ln, l.Conns)) }()
	return &Server{srv: srv, ln: ln}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Drain stops listening and waits until all open requests are answered, or ctx ends.
func (s *Server) Drain(ctx context.Context) error { return errs.Wrap(s.srv.Shutdown(ctx)) }

// Close stops the server at once and closes its connections.
func (s *Server) Close() { _ = s.srv.Close() }

// AddOperatorEndpoints adds the endpoints that every daemon has: health, metrics, and the log level
// (GET, or PUT {"level":"debug"}).
func AddOperatorEndpoints(e *echo.Echo, metrics, level http.Handler) {
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/metrics", echo.WrapHandler(metrics))
	e.Any("/v1/log-level", echo.WrapHandler(level))
}

// ReadJSON decodes the JSON body of a request into v. If the body is not valid, it answers the
// request with status 400 and returns false.
func ReadJSON(c echo.Context, v any) (ok bool, err error) {
	if err := json.NewDecoder(c.Request().Body).Decode(v); err != nil {
		return false, c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	return true, nil
}
