package config

import "time"

// BoxList is the section on the platform's list of boxes; its key in the file is platform. If URL
// is empty, the agents are those of claims.holders.
type BoxList struct {
	URL   string   `json:"url"`
	Poll  Duration `json:"poll"`  // pause between requests; a random jitter is applied
	Limit Duration `json:"limit"` // timeout of one request
}

// DefaultBoxList returns the defaults of BoxList.
func DefaultBoxList() BoxList {
	return BoxList{Poll: Duration(time.Second), Limit: Duration(2 * time.Second)}
}

func (p *BoxList) check(c *checker) {
	if p.URL != "" {
		c.httpURL("platform.url", p.URL)
	}
	c.durationBetween("platform.poll", p.Poll, Duration(50*time.Millisecond), Duration(time.Minute))
	c.durationBetween("platform.limit", p.Limit, Duration(50*time.Millisecond), Duration(time.Minute))
}
