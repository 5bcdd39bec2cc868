package coordinator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/web"
)

// JobRequest is the JSON body of POST /v1/jobs.
type JobRequest struct {
	ID         string        `json:"id"`    // 16 hexadecimal digits
	Queue      string        `json:"queue"` // its name
	Spec       string        `json:"spec"`
	BestEffort bool          `json:"best_effort"`
	Steps      []StepRequest `json:"steps"`
}

// StepRequest is one step of a JobRequest: Count tasks that each need the given resources.
type StepRequest struct {
	Count      uint32   `json:"count"`
	MilliCPU   int64    `json:"milli_cpu"`
	MemoryMiB  int64    `json:"memory_mib"`
	GPU        int64    `json:"gpu"`
	EstimateMS int64    `json:"estimate_ms"`
	After      []uint32 `json:"after"` // indexes of the steps that have to end before
}

// JobState is the JSON response with the state of a job.
type JobState struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// QueueState is the JSON response of GET /v1/queues/NAME.
type QueueState struct {
	Queue   string `json:"queue"`
	Waiting uint32 `json:"waiting"` // jobs none of whose tasks has started
}

// JobError is the JSON response to a request that failed; Error is a failure.Kind.
type JobError struct {
	Error        string `json:"error"`
	Field        string `json:"field,omitempty"`
	Reason       string `json:"reason,omitempty"`
	Allowed      string `json:"allowed,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Limits of a request.
const (
	maxJobBody = 1 << 20          // bytes
	callLimit  = 30 * time.Second // timeout of a call
)

// Handler returns the handler of the HTTP interface for jobs: POST /v1/jobs, GET and DELETE
// /v1/jobs/ID, and GET /v1/queues/NAME.
func (c *Coordinator) Handler() http.Handler {
	e := web.NewEcho()
	e.POST("/v1/jobs", c.serveSubmit)
	e.GET("/v1/jobs/:id", func(ec echo.Context) error { return c.serveJob(ec, c.State) })
	e.DELETE("/v1/jobs/:id", func(ec echo.Context) error { return c.serveJob(ec, c.Cancel) })
	e.GET("/v1/queues/:name", func(ec echo.Context) error {
		return ec.JSON(http.StatusOK, QueueState{ec.Param("name"), c.Waiting(ec.Param("name"))})
	})
	return e
}

func (c *Coordinator) serveSubmit(ec echo.Context) error {
	s, fail := c.readJob(ec)
	if fail != nil {
		return refuse(ec, fail)
	}
	ctx, cancel := context.WithTimeout(ec.Request().Context(), callLimit)
	defer cancel()
	return respond(ec, c.Submit(ctx, s))
}

func (c *Coordinator) serveJob(ec echo.Context, call func(context.Context, durable.JobID) scheduler.Reply) error {
	id := durable.JobID(ec.Param("id"))
	if !id.Valid() {
		return refuse(ec, invalidID())
	}
	ctx, cancel := context.WithTimeout(ec.Request().Context(), callLimit)
	defer cancel()
	return respond(ec, call(ctx, id))
}

func invalidID() *failure.Error {
	return failure.InField(failure.BadRequest, "id", "not a job ID", "16 hexadecimal digits")
}

func respond(ec echo.Context, r scheduler.Reply) error {
	if r.Failure != failure.None {
		return refuse(ec, &failure.Error{Kind: r.Failure, RetryAfter: r.RetryAfter})
	}
	return ec.JSON(http.StatusOK, JobState{string(r.ID), r.State.String()})
}

func refuse(ec echo.Context, e *failure.Error) error {
	web.SetRetryAfter(ec.Response().Header(), e.RetryAfter)
	return ec.JSON(e.Kind.Row().Status, JobError{e.Kind.String(), e.Field, e.Reason, e.Allowed, e.RetryAfter.Milliseconds()})
}

// readJob reads and validates the body of POST /v1/jobs.
func (c *Coordinator) readJob(ec echo.Context) (*durable.Submission, *failure.Error) {
	body, fail := web.ReadBody(ec.Response(), ec.Request(), maxJobBody)
	if fail != nil {
		return nil, fail
	}
	var j JobRequest
	if json.Unmarshal(body, &j) != nil {
		return nil, failure.InField(failure.BadRequest, "(body)", "not a job", "a JSON object")
	}
	cfg := c.Configuration()
	if cfg == nil {
		return nil, failure.New(failure.NoConfiguration, "no configuration has been read yet")
	}
	queue := queueNamed(cfg, j.Queue)
	if queue == nil {
		return nil, failure.InField(failure.UnknownQueue, "queue", "no queue of that name", "")
	}
	return j.submission(*queue)
}

func queueNamed(cfg *routing.Configuration, name string) *durable.Queue {
	for i := range cfg.Rules {
		if cfg.Rules[i].Queue.Name == name {
			return &cfg.Rules[i].Queue
		}
	}
	return nil
}

func (j *JobRequest) submission(q durable.Queue) (*durable.Submission, *failure.Error) {
	s := &durable.Submission{ID: durable.JobID(j.ID), Queue: q, Spec: j.Spec, BestEffort: j.BestEffort}
	if !s.ID.Valid() {
		return nil, invalidID()
	}
	for _, step := range j.Steps {
		s.Steps = append(s.Steps, durable.Step{
			Count:      step.Count,
			Need:       durable.Resources{CPU: step.MilliCPU, Memory: step.MemoryMiB, GPU: step.GPU},
			EstimateMS: step.EstimateMS,
			DependsOn:  step.After,
		})
	}
	if err := s.Check(); err != nil {
		return nil, failure.InField(failure.BadRequest, err.Field, err.Reason, err.Allowed)
	}
	return s, nil
}
