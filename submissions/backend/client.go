// Package backend is the HTTP client with which an agent runs tasks on its backend server and reads
// the server's usage reports. It owns the connections to that server. Every task is sent at most
// once: neither this package nor the HTTP library below it sends a task's bytes a second time.
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

// The headers of a task's request. None of them is an idempotency key, which would let Go's HTTP
// client repeat the request by itself.
const (
	HeaderSubmission    = "Lichenfall-Submission"
	HeaderTask          = "Lichenfall-Task"
	HeaderWorkspace     = "Lichenfall-Team"
	HeaderNotRepeatable = "Lichenfall-Not-Repeatable"
	// HeaderLease is the length in milliseconds of the lease under which the backend server runs
	// the task. The server must stop the task when the lease ends: at the task's deadline, or
	// earlier if the connection is closed.
	HeaderLease = "Lichenfall-Lease-Ms"
)

// Path is the path of the request that runs a task: a POST with the payload as its body. Status 200
// with a JSON body is the task's result. Any other status means that the task ran and failed.
const Path = "/v1/run"

// maxErrorText is how many bytes of a backend server's error reach the caller: a sentence or two.
const maxErrorText = 200

// Settings configures a client.
type Settings struct {
	URL         string        // of the backend server, without a path
	Connections int           // limit of connections to the server
	MaxAnswer   int64         // limit of a result, in bytes
	DialTimeout time.Duration // limit of establishing a connection
}

// Client sends tasks to one backend server.
type Client struct {
	cfg  Settings
	http *http.Client
}

// New returns a client. It connects when the first request is sent.
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
	return &Client{cfg: s, http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// noRedirect makes the client return a redirect as the response instead of sending the task to
// another URL.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends the task and waits for its result or its deadline. The outcome is "not run" only if no
// byte of the request was written to a connection.
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
	o := c.readOutcome(resp)
	if o.Kind != failure.None && !time.Now().Before(t.Deadline) {
		o.Kind = failure.DeadlineWhileRunning // the failure follows from the end of the lease
	}
	return o
}

func (c *Client) request(ctx context.Context, t *queue.Task) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.cfg.URL+Path, bytes.NewReader(t.Payload))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	// Without GetBody the HTTP library cannot send the body a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderSubmission, t.Submission)
	req.Header.Set(HeaderTask, strconv.FormatUint(uint64(t.Index), 10))
	req.Header.Set(HeaderWorkspace, t.Workspace)
	// Rounded up, so that the lease never ends before the deadline.
	lease := max(0, time.Until(t.Deadline)) + time.Millisecond
	req.Header.Set(HeaderLease, strconv.FormatInt(lease.Milliseconds(), 10))
	if t.NotRepeatable {
		req.Header.Set(HeaderNotRepeatable, "true")
	}
	return req, nil
}

// readOutcome turns the response to a task's request into its outcome.
func (c *Client) readOutcome(resp *http.Response) queue.Outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxAnswer+1))
	switch {
	case err != nil && errors.Is(err, context.DeadlineExceeded):
		return queue.Outcome{Kind: failure.DeadlineWhileRunning, Ran: failure.DidRun}
	case err != nil:
		return queue.Outcome{Kind: failure.BackendLost, Ran: failure.DidRun, Reason: "the answer broke off"}
	case int64(len(body)) > c.cfg.MaxAnswer:
		return queue.Outcome{Kind: failure.AnswerTooLarge, Ran: failure.DidRun, Reason: fmt.Sprintf("over %d bytes", c.cfg.MaxAnswer)}
	case resp.StatusCode != http.StatusOK:
		reason := fmt.Sprintf("status %d: %.*q", resp.StatusCode, maxErrorText, body)
		return queue.Outcome{Kind: failure.TaskFailed, Ran: failure.DidRun, Reason: reason}
	case !json.Valid(body):
		return queue.Outcome{Kind: failure.BadAnswer, Ran: failure.DidRun}
	}
	return queue.Outcome{Kind: failure.None, Ran: failure.DidRun, Body: body}
}

// sendTrace records whether any byte of a request was written to its connection.
type sendTrace struct {
	conn        *countingConn
	bytesBefore int64 // written on the connection before this request
}

// attach returns a context whose request is traced by s.
func (s *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if cc, ok := info.Conn.(*countingConn); ok {
				s.conn = cc
				s.bytesBefore = cc.written.Load()
			}
		},
	})
}

func (s *sendTrace) wrote() bool {
	return s.conn != nil && s.conn.written.Load() > s.bytesBefore
}

// outcome returns the outcome of a request that got no response. The task did not run if no byte
// was sent; else it is unknown whether it ran.
func (s *sendTrace) outcome(err error) queue.Outcome {
	timedOut := errors.Is(err, context.DeadlineExceeded)
	switch {
	case !s.wrote() && timedOut:
		return queue.Outcome{Kind: failure.DeadlineInQueue, Ran: failure.NotRun, Reason: "the backend server took no connection"}
	case !s.wrote():
		return queue.Outcome{Kind: failure.BackendUnreachable, Ran: failure.NotRun, Reason: cause(err)}
	case timedOut:
		return queue.Outcome{Kind: failure.DeadlineWhileRunning, Ran: failure.RanUnknown}
	}
	return queue.Outcome{Kind: failure.BackendLost, Ran: failure.RanUnknown, Reason: cause(err)}
}

// cause returns the text of the wrapped error. The outer one would reveal the backend server's URL
// to callers.
func cause(err error) string {
	if next := errors.Unwrap(err); next != nil {
		err = next
	}
	return err.Error()
}

// countingConn counts the bytes that the kernel accepted for a connection, those of partial writes
// included.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}
