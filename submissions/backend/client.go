// Package backend hands tasks to the backend server beside an agent over HTTP.
// Every task is sent at most once: nothing in this package, nor in the HTTP
// library below it, sends a task's bytes a second time.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/queue"
)

// The headers of a task's request. None of them makes Go's HTTP client take
// the request for one that it may repeat.
const (
	HeaderSubmission    = "Lichenfall-Submission"
	HeaderTask          = "Lichenfall-Task"
	HeaderWorkspace     = "Lichenfall-Team"
	HeaderNotRepeatable = "Lichenfall-Not-Repeatable"
	// HeaderLease is the lease under which the backend server runs the task:
	// the milliseconds after which it must stop it. It ends with the task's
	// deadline; closing the connection ends it sooner.
	HeaderLease = "Lichenfall-Lease-Ms"
)

// Path is where a backend server takes tasks: a POST with the payload as its
// body. Status 200 and a JSON body is the task's answer; any other status is a
// failure of a task that ran.
const Path = "/v1/run"

// maxErrorText bounds what of a backend server's error is passed on, in bytes. A sentence or
// two.
const maxErrorText = 200

// Settings are the bounds of a client.
type Settings struct {
	URL         string
	Connections int
	MaxAnswer   int64
	DialTimeout time.Duration
}

// Client sends tasks to one backend server.
type Client struct {
	set  Settings
	http *http.Client
}

// New returns a client; it connects when there is something to send.
func New(s Settings) *Client {
	d := &net.Dialer{Timeout: s.DialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: nc}, nil
		},
		MaxConnsPerHost:     s.Connections,
		MaxIdleConns:        s.Connections,
		MaxIdleConnsPerHost: s.Connections,
		DisableCompression:  true,
	}
	return &Client{set: s, http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// noRedirect keeps a redirect from sending the task anywhere else.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends the task and waits for its end or its deadline. The outcome says
// "not run" only when no byte of the task was written to a connection.
func (c *Client) Run(ctx context.Context, t *queue.Task) queue.Outcome {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	var sent sendTrace
	req, err := c.request(sent.attach(ctx), t)
	if err != nil {
		return queue.Outcome{Kind: failure.Internal, Ran: failure.NotRun, Reason: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return sent.outcome(err)
	}
	defer resp.Body.Close()
	o := c.read(resp)
	if o.Kind != failure.None && !time.Now().Before(t.Deadline) {
		o.Kind = failure.DeadlineWhileRunning // what went wrong is that its lease lapsed
	}
	return o
}

func (c *Client) request(ctx context.Context, t *queue.Task) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.set.URL+Path, bytes.NewReader(t.Payload))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	// Without GetBody the library cannot send the body a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderSubmission, t.Submission)
	req.Header.Set(HeaderTask, strconv.FormatUint(uint64(t.Index), 10))
	req.Header.Set(HeaderWorkspace, t.Workspace)
	// Rounded up, so that the lease never lapses before the deadline.
	lease := max(0, time.Until(t.Deadline)) + time.Millisecond
	req.Header.Set(HeaderLease, strconv.FormatInt(lease.Milliseconds(), 10))
	if t.NotRepeatable {
		req.Header.Set(HeaderNotRepeatable, "true")
	}
	return req, nil
}

func (c *Client) read(resp *http.Response) queue.Outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.set.MaxAnswer+1))
	switch {
	case err != nil && errors.Is(err, context.DeadlineExceeded):
		return queue.Outcome{Kind: failure.DeadlineWhileRunning, Ran: failure.DidRun}
	case err != nil:
		return queue.Outcome{Kind: failure.BackendLost, Ran: failure.DidRun, Reason: "the answer broke off"}
	case int64(len(body)) > c.set.MaxAnswer:
		return queue.Outcome{Kind: failure.AnswerTooLarge, Ran: failure.DidRun, Reason: fmt.Sprintf("over %d bytes", c.set.MaxAnswer)}
	case resp.StatusCode != http.StatusOK:
		reason := fmt.Sprintf("status %d: %.*q", resp.StatusCode, maxErrorText, body)
		return queue.Outcome{Kind: failure.TaskFailed, Ran: failure.DidRun, Reason: reason}
	case !json.Valid(body):
		return queue.Outcome{Kind: failure.BadAnswer, Ran: failure.DidRun}
	}
	return queue.Outcome{Kind: failure.None, Ran: failure.DidRun, Body: body}
}

// sendTrace finds out whether any byte of a request was written.
type sendTrace struct {
	conn   *countingConn
	before int64
}

func (s *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if cc, ok := info.Conn.(*countingConn); ok {
				s.conn = cc
				s.before = cc.written.Load()
			}
		},
	})
}

func (s *sendTrace) wrote() bool {
	return s.conn != nil && s.conn.written.Load() > s.before
}

func (s *sendTrace) outcome(err error) queue.Outcome {
	late := errors.Is(err, context.DeadlineExceeded)
	switch {
	case !s.wrote() && late:
		return queue.Outcome{Kind: failure.DeadlineInQueue, Ran: failure.NotRun, Reason: "the backend server took no connection"}
	case !s.wrote():
		return queue.Outcome{Kind: failure.BackendUnreachable, Ran: failure.NotRun, Reason: cause(err)}
	case late:
		return queue.Outcome{Kind: failure.DeadlineWhileRunning, Ran: failure.RanUnknown}
	}
	return queue.Outcome{Kind: failure.BackendLost, Ran: failure.RanUnknown, Reason: cause(err)}
}

// cause leaves out the URL, which callers have no business with.
func cause(err error) string {
	if next := errors.Unwrap(err); next != nil {
		err = next
	}
	return err.Error()
}

// countingConn counts the bytes written to a connection, or handed to the
// kernel in part.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}
