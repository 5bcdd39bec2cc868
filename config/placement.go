package config

import "time"

// Placement is the section on the choice of an agent for a task.
type Placement struct {
	// Choices is the number of agents drawn at random, of which the least
	// loaded is taken; 0 looks at all in a pool of up to 64 agents, and draws 16
	// of a larger one. Other values answer later under load and
	// stay for operators who have set them.
	Choices int `json:"choices"`
	// Bounces is how often a task may be handed back by an agent that holds more
	// tasks than the entry thought, Slack how many more are borne. They buy
	// response time with messages. Slack above 0 lost the measurement and stays for
	// operators who have set it.
	Bounces int `json:"bounces"`
	Slack   int `json:"slack"`
	// Worse is how many times as slow as the median of its pool a backend server
	// must be to be held back; 0 holds none back. WorseShare of a pool may be held
	// back; Trickle is the share of tasks that go to those held back.
	Worse       float64  `json:"worse"`
	WorseShare  float64  `json:"worse_share"`
	Trickle     float64  `json:"trickle"`
	PingAfter   Duration `json:"ping_after"`   // without a word of an agent that holds tasks
	PingWait    Duration `json:"ping_wait"`    // for its answer, before it gets no more
	SilentShare float64  `json:"silent_share"` // of the agents, before an entry suspects itself
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
	c.span("placement.ping_after", p.PingAfter, Duration(50*time.Millisecond), Duration(time.Minute))
	c.span("placement.ping_wait", p.PingWait, Duration(50*time.Millisecond), Duration(time.Minute))
	between(c, "placement.silent_share", p.SilentShare, 0, 1)
}
