package config

import "time"

// Backend is the agent's section on the backend server beside it.
type Backend struct {
	URL         string `json:"url"`
	Pool        string `json:"pool"`
	Slots       int    `json:"slots"`       // tasks at once
	Connections int    `json:"connections"` // HTTP connections at most
	Queue       int    `json:"queue"`       // tasks waiting for a slot
	// Order is "fair": workspaces in turn, small jobs of a workspace first; or "arrival",
	// which answers later under load and stays for operators who have set it.
	Order       string   `json:"order"`
	Hold        Duration `json:"hold"`       // how long an answer may wait for others of its job
	MaxAnswer   int64    `json:"max_answer"` // bytes of one answer
	DialTimeout Duration `json:"dial_timeout"`
	UsagePoll   Duration `json:"usage_poll"`   // between readings of its usage reports
	StopTimeout Duration `json:"stop_timeout"` // for tasks in flight at a planned stop
}

// DefaultBackend returns the defaults of Backend.
func DefaultBackend() Backend {
	return Backend{
		Pool:        "default",
		Slots:       8,
		Connections: 64,
		Queue:       256,
		Order:       "fair",
		Hold:        Duration(10 * time.Millisecond),
		MaxAnswer:   256 << 10,
		DialTimeout: Duration(time.Second),
		UsagePoll:   Duration(time.Second),
		StopTimeout: Duration(70 * time.Second),
	}
}

func (b *Backend) check(c *checker) {
	c.link("backend.url", b.URL)
	c.name("backend.pool", b.Pool)
	between(c, "backend.slots", b.Slots, 1, 1024)
	between(c, "backend.connections", b.Connections, b.Slots, 4096)
	between(c, "backend.queue", b.Queue, 0, 100000)
	c.oneOf("backend.order", b.Order, "fair", "arrival")
	c.span("backend.hold", b.Hold, 0, Duration(time.Second))
	between(c, "backend.max_answer", b.MaxAnswer, 16, 4<<20)
	c.span("backend.dial_timeout", b.DialTimeout, Duration(10*time.Millisecond), Duration(10*time.Second))
	c.span("backend.usage_poll", b.UsagePoll, Duration(100*time.Millisecond), Duration(time.Hour))
	c.span("backend.stop_timeout", b.StopTimeout, Duration(time.Second), Duration(time.Hour))
}
