// Package client is the HTTP client of entries, for callers and operators. It generates submission
// IDs and owns the HTTP connections. It never resends a submission by itself.
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

// NewID returns a new submission ID, which carries the current time.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// Client sends requests to one entry, or to a load balancer in front of several.
type Client struct {
	url  string
	http *http.Client
}

// maxIdleConns is how many idle connections to one entry are kept, so that a load generator
// doesn't dial for each job.
const maxIdleConns = 1024

// New returns a client for the entry at url.
func New(url string) *Client {
	return &Client{url: url, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Submit sends a submission and waits for its answer. An error means that no answer was received,
// so that the outcome is unknown; the same request may be sent again.
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
	return c.do(req)
}

// Lookup returns the state of a submission.
func (c *Client) Lookup(ctx context.Context, id string) (*job.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"/v1/submissions/"+url.PathEscape(id), nil)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return c.do(req)
}

// IDs fetches n new submission IDs from the entry, which chooses IDs that can be claimed now. NewID
// generates an ID without a request, but its holder may be unavailable.
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

// Get decodes the JSON response of an endpoint for operators, such as /v1/state, into v.
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

// do sends the request and decodes the entry's answer, whatever its status.
func (c *Client) do(req *http.Request) (*job.Answer, error) {
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
