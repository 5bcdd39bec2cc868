package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// UsagePath is the path of a backend server's usage report.
const UsagePath = "/v1/usage"

// Usage is a backend server's report of the resources in use. It lags behind the present.
type Usage struct {
	At          time.Time `json:"at"` // time of the measurement
	Cores       float64   `json:"cores"`
	MemoryBytes float64   `json:"memory_bytes"`
	Tasks       int       `json:"tasks"` // running
}

// maxUsageBytes bounds the size of a usage report.
const maxUsageBytes = 4 << 10

// Usage reads the backend server's latest report.
func (c *Client) Usage(ctx context.Context) (Usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.URL+UsagePath, nil)
	if err != nil {
		return Usage{}, errs.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Usage{}, errs.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Usage{}, errs.New("usage: status %d", resp.StatusCode)
	}
	var u Usage
	err = json.NewDecoder(io.LimitReader(resp.Body, maxUsageBytes)).Decode(&u)
	return u, errs.Wrap(err)
}
