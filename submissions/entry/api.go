package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/submissions/claim"
	"github.com/lichenfall/lichenfall/submissions/job"
)

func (e *Entry) routes() http.Handler {
	r := web.NewEcho()
	r.HTTPErrorHandler = writeHTTPError
	web.AddOperatorEndpoints(r, e.registry.Handler, e.log.Level)
	r.POST("/v1/submissions", e.submit)
	r.GET("/v1/submissions/:id", e.lookup)
	r.GET("/v1/ids", e.ids)
	r.GET("/v1/state", func(c echo.Context) error { return c.JSON(http.StatusOK, e.currentState()) })
	r.GET("/ready", e.ready)
	return r
}

// writeHTTPError writes an error that echo itself returns, such as an unknown route, in the form
// of all other answers.
func writeHTTPError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	reason := err.Error()
	status := http.StatusInternalServerError
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
	}
	k := failure.BadRequest
	if status >= http.StatusInternalServerError {
		k = failure.Internal
	}
	a := job.Refusal("", failure.New(k, reason), k.Row().Ran)
	_ = c.JSON(status, a) // a write fails only if the caller has disconnected
}

// submit accepts a submission and waits for its answer. With ?wait=false it responds at once with
// status 202, and the caller looks the state up later.
func (e *Entry) submit(c echo.Context) error {
	s, err := e.readSubmission(c)
	if err != nil {
		f := failure.From(err)
		e.count.Answered(f.Kind)
		return respond(c, job.Refusal("", f, f.Kind.Row().Ran))
	}
	answer := make(chan *job.Answer, 1)
	caller := e.lastCallerID.Add(1)
	e.loop.Post(event{kind: evSubmit, caller: caller, answer: answer, sub: s})
	if c.QueryParam("wait") == "false" {
		return c.JSON(http.StatusAccepted, &job.Answer{Submission: s.ID, State: job.Running})
	}
	return e.awaitAnswer(c, caller, answer)
}

// awaitAnswer writes the answer of the core once it arrives. If the caller disconnects first, the
// core's answer is discarded; the submission itself goes on.
func (e *Entry) awaitAnswer(c echo.Context, caller uint64, answer chan *job.Answer) error {
	select {
	case a := <-answer:
		return respond(c, a)
	case <-c.Request().Context().Done():
		e.loop.Post(event{kind: evCallerGone, caller: caller})
		return context.Cause(c.Request().Context())
	case <-e.loop.Done():
		return respond(c, job.Refusal("", failure.New(failure.Internal, "the entry ended"), failure.RanUnknown))
	}
}

// readSubmission reads the request's body and checks it against the configured limits.
func (e *Entry) readSubmission(c echo.Context) (*job.Submission, error) {
	body, fail := web.ReadBody(c.Response(), c.Request(), e.cfg.HTTP.MaxBody)
	if fail != nil {
		return nil, fail
	}
	r, err := job.Decode(body)
	if err != nil {
		return nil, err
	}
	j := e.cfg.Jobs
	return r.Check(time.Now(), job.Limits{
		Tasks:          j.MaxTasks,
		PayloadBytes:   j.MaxPayload,
		Timeout:        j.MaxTimeout.D(),
		DefaultTimeout: j.DefaultTimeout.D(),
	})
}

func (e *Entry) lookup(c echo.Context) error {
	id := c.Param("id")
	if _, ok := claim.IDTime(id); !ok || !job.ValidName(id) {
		f := failure.InField(failure.BadRequest, "id", "not a submission ID", claim.AllowedID)
		return respond(c, job.Refusal("", f, failure.NotRun))
	}
	answer := make(chan *job.Answer, 1)
	caller := e.lastCallerID.Add(1)
	e.loop.Post(event{kind: evLookup, caller: caller, answer: answer, id: id})
	return e.awaitAnswer(c, caller, answer)
}

// respond writes the answer as JSON, with the status and the Retry-After header that follow from
// its error.
func respond(c echo.Context, a *job.Answer) error {
	if a.Error != nil {
		web.SetRetryAfter(c.Response().Header(), time.Duration(a.Error.RetryAfterMS)*time.Millisecond)
	}
	return c.JSON(a.Status(), a)
}

// ready responds with the state, and with status 503 unless the entry accepts submissions and can
// place tasks in every pool.
func (e *Entry) ready(c echo.Context) error {
	s := e.currentState()
	if !s.Ready {
		return c.JSON(http.StatusServiceUnavailable, s)
	}
	return c.JSON(http.StatusOK, s)
}
