package config

import "time"

// Placement is the entry's section on the choice of an agent for a task.
type Placement struct {
	// Choices is the number of agents drawn at random, of which the least loaded is chosen. 0
	// compares all agents of a pool of up to 64, and draws 16 of a larger one. Other values have
	// longer response times under load; they remain for operators who have set them.
	Choices int `json:"choices"`
	// Bounces is how often an agent may return a task because it holds more tasks than the
	// entry assumed; Slack is by how many tasks it may exceed that number without returning the
	// task. Bounces shorten response times at the cost of messages. Slack above 0 did worse in
	// benchmarks and remains for operators who have set it.
	Bounces int `json:"bounces"`
	Slack   int `json:"slack"`
	// Worse is how many times as slow as the median of its pool a backend server has to be to
	// be ejected; 0 ejects none. WorseShare is the largest share of a pool that may be ejected.
	// Trickle is the share of tasks that ejected servers still get.
	Worse       float64  `json:"worse"`
	WorseShare  float64  `json:"worse_share"`
	Trickle     float64  `json:"trickle"`
	PingAfter   Duration `json:"ping_after"`   // silence after which an agent that holds tasks is pinged
	PingWait    Duration `json:"ping_wait"`    // how long to wait for its reply, before it gets no more tasks
	SilentShare float64  `json:"silent_share"` // of the agents; above it, the entry assumes a fault of its own
}

// DefaultPlacement returns the defaults of Placement.
func DefaultPlacement() Placement {
	return Placement{
		Bounces:     2,
		Slack:       0,
		Worse:       3,
		WorseShare:  0.4,
		Trickle:     0.0003,
		PingAfter:   Duration(200 * time.Millisecond),
		PingWait:    Duration(200 * time.Millisecond),
		SilentShare: 0.4,
	}
}

func (p *Placement) check(c *checker) {
	between(c, "placement.choices", p.Choices, 0, 64)
	between(c, "placement.bounces", p.Bounces, 0, 10)
	between(c, "placement.slack", p.Slack, 0, 1000)
	between(c, "placement.worse", p.Worse, 0, 1000)
	between(c, "placement.worse_share", p.WorseShare, 0, 1)
	between(c, "placement.trickle", p.Trickle, 0, 0.5)
	c.durationBetween("placement.ping_after", p.PingAfter, Duration(50*time.Millisecond), Duration(time.Minute))
	c.durationBetween("placement.ping_wait", p.PingWait, Duration(50*time.Millisecond), Duration(time.Minute))
	between(c, "placement.silent_share", p.SilentShare, 0, 1)
}
