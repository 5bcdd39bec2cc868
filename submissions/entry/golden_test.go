package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/golden"
	"github.com/lichenfall/lichenfall/submissions/job"
)

// TestAnswersByFailure compares the HTTP response to each kind of failure with the golden file.
func TestAnswersByFailure(t *testing.T) {
	var out strings.Builder
	for _, row := range failure.Table()[1:] {
		w := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/", nil), w)
		e := failure.InField(row.Kind, "tasks", "reason", "1 to 150")
		if err := respond(c, job.Refusal("id@1", e, row.Ran)); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s: %d %q %q %s\n", row.Name, w.Code, w.Header().Get("Retry-After"), w.Header().Get("Content-Type"), strings.TrimSpace(w.Body.String()))
	}
	golden.Check(t, "answers.golden", out.String())
}
