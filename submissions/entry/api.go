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
	r.HTTPErrorHandler = answerHTTPError
	web.AddOperatorEndpoints(r, e.registry.Handler, e.log.Level)
	r.POST("/v1/submissions", e.submit)
	r.GET("/v1/submissions/:id", e.lookup)
	r.GET("/v1/ids", e.ids)
	r.GET("/v1/state", func(c echo.Context) error { return c.JSON(http.StatusOK, e.askState()) })
	r.GET("/ready", e.ready)
	return r
}

// answerHTTPError answers what echo itself refuses, in our own form.
func answerHTTPError(err error, c echo.Context) {
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
	_ = c.JSON(status, a) // the caller is gone when it cannot be written
}

// submit takes a submission. With ?wait=false it answers at once and the
// caller asks for the state later.
func (e *Entry) submit(c echo.Context) error {
	s, err := e.read(c)
	if err != nil {
		f := failure.From(err)
		e.count.Answered(f.Kind)
		return respond(c, job.Refusal("", f, f.Kind.Row().Ran))
	}
	answer := make(chan *job.Answer, 1)
	caller := e.lastCaller.Add(1)
	e.loop.Post(event{kind: evSubmit, caller: caller, answer: answer, sub: s})
	if c.QueryParam("wait") == "false" {
		return c.JSON(http.StatusAccepted, &job.Answer{Submission: s.ID, State: job.Running})
	}
	return e.await(c, caller, answer)
}

func (e *Entry) await(c echo.Context, caller uint64, answer chan *job.Answer) error {
	select {
	case a := <-answer:
		return respond(c, a)
	case <-c.Request().Context().Done():
		e.loop.Post(event{kind: evGone, caller: caller})
		return context.Cause(c.Request().Context())
	case <-e.loop.Done():
		return respond(c, job.Refusal("", failure.New(failure.Internal, "the entry ended"), failure.RanUnknown))
	}
}

func (e *Entry) read(c echo.Context) (*job.Submission, error) {
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
	caller := e.lastCaller.Add(1)
	e.loop.Post(event{kind: evLookup, caller: caller, answer: answer, id: id})
	return e.await(c, caller, answer)
}

// respond writes the answer with the status and headers that its kind gives.
func respond(c echo.Context, a *job.Answer) error {
	if a.Error != nil {
		web.SetRetryAfter(c.Response().Header(), time.Duration(a.Error.RetryAfterMS)*time.Millisecond)
	}
	return c.JSON(a.Status(), a)
}

// ready says whether work can be taken and placed.
func (e *Entry) ready(c echo.Context) error {
	s := e.askState()
	if !s.Ready {
		return c.JSON(http.StatusServiceUnavailable, s)
	}
	return c.JSON(http.StatusOK, s)
}
