package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// UsagePath is where a backend server reports what it uses.
const UsagePath = "/v1/usage"

// Usage is a backend server's report. It lags behind what is the case.
type Usage struct {
	At          time.Time `json:"at"` // when it was true
	Cores       float64   `json:"cores"`
	MemoryBytes float64   `json:"memory_bytes"`
	Tasks       int       `json:"tasks"` // running
}

// maxUsage bounds a usage report, in bytes.
const maxUsage = 4 << 10

// Usage reads the report.
func (c *Client) Usage(ctx context.Context) (Usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.set.URL+UsagePath, nil)
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxUsage)).Decode(&u)
	return u, errs.Wrap(err)
}
