package config

import "time"

// Platform is the section on the platform's box list. An empty URL means that
// the agents are those of claims.holders.
type Platform struct {
	URL   string   `json:"url"`
	Poll  Duration `json:"poll"`  // pause between readings, spread by jitter
	Limit Duration `json:"limit"` // for one reading
}

// DefaultPlatform returns the defaults of Platform.
func DefaultPlatform() Platform {
	return Platform{Poll: Duration(time.Second), Limit: Duration(2 * time.Second)}
}

func (p *Platform) check(c *checker) {
	if p.URL != "" {
		c.link("platform.url", p.URL)
	}
	c.span("platform.poll", p.Poll, Duration(50*time.Millisecond), Duration(time.Minute))
	c.span("platform.limit", p.Limit, Duration(50*time.Millisecond), Duration(time.Minute))
}
