// Package client speaks to entries on behalf of callers and operators. It owns idle
// HTTP connections, and makes the IDs of submissions; it never sends a submission
// again by itself.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/submissions/job"
)

// NewID returns a submission ID made now.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// Client speaks to one entry, or to a balancer before several.
type Client struct {
	url  string
	http *http.Client
}

// maxIdle is how many idle connections to one entry are kept, so that a load generator need
// not dial for each job.
const maxIdle = 1024

// New returns a client for the entry at url.
func New(url string) *Client {
	return &Client{url: url, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Submit sends a submission and waits for its answer. An error means that no
// answer came, so that nothing is known; the same request may be sent again.
func (c *Client) Submit(ctx context.Context, r *job.Request) (*job.Answer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/submissions", bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.answer(req)
}

// Lookup asks for the state of a submission.
func (c *Client) Lookup(ctx context.Context, id string) (*job.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"/v1/submissions/"+url.PathEscape(id), nil)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return c.answer(req)
}

// IDs takes n new submission IDs from the entry. They are chosen so that they
// can be claimed now; NewID makes them without asking.
func (c *Client) IDs(ctx context.Context, n int) ([]string, error) {
	var out struct {
		IDs []string `json:"ids"`
	}
	err := c.Get(ctx, fmt.Sprintf("/v1/ids?count=%d", n), &out)
	if err == nil && len(out.IDs) != n {
		err = errs.New("asked for %d IDs, got %d", n, len(out.IDs))
	}
	return out.IDs, err
}

// Get reads the JSON of an operators' endpoint such as /v1/state into v.
func (c *Client) Get(ctx context.Context, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return errs.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errs.Wrap(err)
	}
	defer resp.Body.Close()
	return errs.Wrap(json.NewDecoder(resp.Body).Decode(v))
}

func (c *Client) answer(req *http.Request) (*job.Answer, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	defer resp.Body.Close()
	a := &job.Answer{}
	if err := json.NewDecoder(resp.Body).Decode(a); err != nil {
		return nil, errs.New("status %d without an answer: %v", resp.StatusCode, err)
	}
	return a, nil
}
