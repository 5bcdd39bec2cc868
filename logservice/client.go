// Package logservice speaks to the log service: its append-only log and
// its list of boxes.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/membership"
)

// Record is one record of a stream of the log.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is what a reading of a stream returns.
type Page struct {
	First   uint64   `json:"first"` // the oldest offset still kept
	Next    uint64   `json:"next"`  // the offset that the next append gets
	Records []Record `json:"records"`
}

// Appended is the answer to an append.
type Appended struct {
	Offset uint64 `json:"offset"`
}

// ErrOutcomeUnknown means that an append may or may not have taken effect.
var ErrOutcomeUnknown = errs.New("the append's answer was lost")

// ErrRefused means that an append certainly had no effect.
var ErrRefused = errs.New("the log refused the append")

// ErrGone means that the records asked for are no longer kept.
var ErrGone = errs.New("the log no longer keeps records of that offset")

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

// Read reads at most limit records of the stream, beginning at offset from.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int) (Page, error) {
	status, body, err := c.get(ctx, fmt.Sprintf("/v1/streams/%s/records?from=%d&limit=%d", stream, from, limit))
	switch {
	case err != nil:
		return Page{}, err
	case status == http.StatusGone:
		return Page{}, ErrGone
	case status != http.StatusOK:
		return Page{}, errs.New("read of %s: status %d", stream, status)
	}
	var p Page
	err = json.Unmarshal(body, &p)
	return p, errs.Wrap(err)
}

// Append appends data to the stream and returns its offset. After any error
// but ErrRefused the record may be there all the same.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/streams/"+stream+"/records", bytes.NewReader(data))
	if err != nil {
		return 0, errs.Wrap(err)
	}
	req.GetBody = nil
	status, body, err := c.do(req)
	if err != nil {
		return 0, errs.Combine(ErrOutcomeUnknown, err)
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return 0, ErrRefused
	}
	var a Appended
	if status != http.StatusOK || json.Unmarshal(body, &a) != nil {
		return 0, ErrOutcomeUnknown
	}
	return a.Offset, nil
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
