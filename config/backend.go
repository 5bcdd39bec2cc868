package config

import "time"

// Backend is the agent's section on its backend server.
type Backend struct {
	URL         string `json:"url"`
	Pool        string `json:"pool"`
	Slots       int    `json:"slots"`       // tasks that run at once
	Connections int    `json:"connections"` // limit on HTTP connections to the backend server
	Queue       int    `json:"queue"`       // limit on tasks that wait for a slot
	// Order of the waiting tasks. "fair" serves workspaces in turn and small jobs of a workspace
	// first. "arrival" has longer response times under load; it remains for operators who have
	// set it.
	Order       string   `json:"order"`
	Hold        Duration `json:"hold"`       // how long a result may be delayed to be sent with others of its job
	MaxAnswer   int64    `json:"max_answer"` // limit on the size of one answer, in bytes
	DialTimeout Duration `json:"dial_timeout"`
	UsagePoll   Duration `json:"usage_poll"`   // interval between requests for its usage
	StopTimeout Duration `json:"stop_timeout"` // how long a planned stop waits for running tasks
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
	c.httpURL("backend.url", b.URL)
	c.name("backend.pool", b.Pool)
	between(c, "backend.slots", b.Slots, 1, 1024)
	between(c, "backend.connections", b.Connections, b.Slots, 4096)
	between(c, "backend.queue", b.Queue, 0, 100000)
	c.oneOf("backend.order", b.Order, "fair", "arrival")
	c.durationBetween("backend.hold", b.Hold, 0, Duration(time.Second))
	between(c, "backend.max_answer", b.MaxAnswer, 16, 4<<20)
	c.durationBetween("backend.dial_timeout", b.DialTimeout, Duration(10*time.Millisecond), Duration(10*time.Second))
	c.durationBetween("backend.usage_poll", b.UsagePoll, Duration(100*time.Millisecond), Duration(time.Hour))
	c.durationBetween("backend.stop_timeout", b.StopTimeout, Duration(time.Second), Duration(time.Hour))
}
