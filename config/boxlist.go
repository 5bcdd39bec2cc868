package config

import "time"

// BoxList is the section on the platform's box list; in the file it is called
// platform. An empty URL means that
// the agents are those of claims.holders.
type BoxList struct {
	URL   string   `json:"url"`
	Poll  Duration `json:"poll"`  // pause between readings, spread by jitter
	Limit Duration `json:"limit"` // for one reading
}

// DefaultBoxList returns the defaults of BoxList.
func DefaultBoxList() BoxList {
	return BoxList{Poll: Duration(time.Second), Limit: Duration(2 * time.Second)}
}

func (p *BoxList) check(c *checker) {
	if p.URL != "" {
		c.link("platform.url", p.URL)
	}
	c.span("platform.poll", p.Poll, Duration(50*time.Millisecond), Duration(time.Minute))
	c.span("platform.limit", p.Limit, Duration(50*time.Millisecond), Duration(time.Minute))
}
