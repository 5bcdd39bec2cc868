package coordinator

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/golden"
)

// TestAnswersByFailure compares the HTTP response of the job interface to each kind of failure, and
// to each state of a job, with a golden file.
func TestAnswersByFailure(t *testing.T) {
	var out strings.Builder
	answer := func(name string, respond func(echo.Context) error) {
		w := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/", nil), w)
		if err := respond(c); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s: %d %q %q %s\n", name, w.Code, w.Header().Get("Retry-After"), w.Header().Get("Content-Type"), strings.TrimSpace(w.Body.String()))
	}
	for _, row := range failure.Table()[1:] {
		r := scheduler.Reply{ID: "5c0e7a21d94b36f8", Failure: row.Kind, RetryAfter: 1500 * time.Millisecond}
		answer(row.Name, func(c echo.Context) error { return respond(c, r) })
	}
	for s := durable.Queued; s <= durable.Cancelled; s++ {
		r := scheduler.Reply{ID: "5c0e7a21d94b36f8", State: s}
		answer(s.String(), func(c echo.Context) error { return respond(c, r) })
	}
	answer("field", func(c echo.Context) error {
		return refuse(c, failure.InField(failure.BadRequest, "steps[0].count", "0 is out of range", "1 to 10"))
	})
	golden.Check(t, "answers.golden", out.String())
}
