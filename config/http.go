package config

import "time"

// HTTP is the entry's section on its HTTP server for callers.
type HTTP struct {
	Listen        string   `json:"listen"`
	MaxBody       int64    `json:"max_body"`       // limit on the body of a request, in bytes
	MaxHeader     int      `json:"max_header"`     // limit on the header of a request, in bytes
	HeaderTimeout Duration `json:"header_timeout"` // for reading a request's header
	BodyTimeout   Duration `json:"body_timeout"`   // for reading a request's header and body
	IdleTimeout   Duration `json:"idle_timeout"`   // between requests on a connection
	MaxConns      int      `json:"max_conns"`
}

// DefaultHTTP returns the defaults of HTTP.
func DefaultHTTP() HTTP {
	return HTTP{
		Listen:        "127.0.0.1:7070",
		MaxBody:       8 << 20,
		MaxHeader:     16 << 10,
		HeaderTimeout: Duration(2 * time.Second),
		BodyTimeout:   Duration(10 * time.Second),
		IdleTimeout:   Duration(2 * time.Minute),
		MaxConns:      10000,
	}
}

func (h *HTTP) check(c *checker) {
	c.address("http.listen", h.Listen)
	between(c, "http.max_body", h.MaxBody, 1<<10, 256<<20)
	between(c, "http.max_header", h.MaxHeader, 1<<10, 1<<20)
	c.durationBetween("http.header_timeout", h.HeaderTimeout, Duration(100*time.Millisecond), Duration(time.Minute))
	c.durationBetween("http.body_timeout", h.BodyTimeout, Duration(100*time.Millisecond), Duration(10*time.Minute))
	c.durationBetween("http.idle_timeout", h.IdleTimeout, Duration(time.Second), Duration(time.Hour))
	between(c, "http.max_conns", h.MaxConns, 1, 1000000)
}
