// Package boxlist is the HTTP client of the platform's service that lists the boxes. It owns up to
// two idle connections. It relies on the service to increase the list's version with each change.
package boxlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/submissions/membership"
)

// maxResponse bounds one response in bytes; it has room for some 100,000 boxes.
const maxResponse = 32 << 20

// Client reads the box list of one service.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the service at url. Each call ends within timeout.
func New(url string, timeout time.Duration) *Client {
	return &Client{url: url, http: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Boxes reads the box list. If the service's list still has the given version, changed is false and
// list is empty.
func (c *Client) Boxes(ctx context.Context, version uint64) (list membership.BoxList, changed bool, err error) {
	status, body, err := c.get(ctx, fmt.Sprintf("/v1/boxes?after=%d", version))
	if err != nil || status == http.StatusNotModified {
		return membership.BoxList{}, false, err
	}
	if status != http.StatusOK {
		return membership.BoxList{}, false, errs.New("box list: status %d", status)
	}
	err = json.Unmarshal(body, &list)
	return list, true, errs.Wrap(err)
}

func (c *Client) get(ctx context.Context, path string) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return 0, nil, errs.Wrap(err)
	}
	return c.do(req)
}

func (c *Client) do(req *http.Request) (status int, body []byte, err error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errs.Wrap(err)
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	return resp.StatusCode, body, errs.Wrap(err)
}
