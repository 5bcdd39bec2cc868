// Package boxlist is the client of the service that lists the boxes. It owns a
// few idle connections, and relies on the list's version to tell whether there is
// anything new.
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

// maxReply bounds one reading, in bytes; some 100,000 boxes.
const maxReply = 32 << 20

// Client speaks to one platform service.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the service at url; each call ends within limit.
func New(url string, limit time.Duration) *Client {
	return &Client{url: url, http: &http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Boxes reads the box list; changed is false when it still has the version.
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
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxReply))
	return resp.StatusCode, body, errs.Wrap(err)
}
