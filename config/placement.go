package config

// Placement is the section on the choice of an agent for a task.
type Placement struct {
	// Choices is the number of agents drawn at random, of which the least
	// loaded is taken; 0 looks at all.
	Choices int `json:"choices"`
}

// DefaultPlacement returns the defaults of Placement.
func DefaultPlacement() Placement { return Placement{Choices: 0} }

func (p *Placement) check(c *checker) {
	between(c, "placement.choices", p.Choices, 0, 64)
}
