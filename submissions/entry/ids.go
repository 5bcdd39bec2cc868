package entry

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/submissions/job"
)

// IDs is the answer to a request for submission IDs.
type IDs struct {
	IDs []string `json:"ids"`
}

const (
	maxIDs      = 1000 // of one question
	drawsForOne = 64   // tries at an ID whose holder is there
)

// ids hands out new submission IDs whose holders are there now. A caller that
// takes its IDs here shortly before it submits is not held up by an agent that
// is down.
func (e *Entry) ids(c echo.Context) error {
	n, err := strconv.Atoi(c.QueryParam("count"))
	if err != nil || n < 1 || n > maxIDs {
		f := failure.InField(failure.BadRequest, "count", "not a number in range", fmt.Sprintf("1 to %d", maxIDs))
		return respond(c, job.Refusal("", f, failure.NotRun))
	}
	ids, ok := loop.Call(e.loop, func(answer chan<- []string) event { return event{kind: evIDs, count: n, ids: answer} })
	if !ok {
		return respond(c, job.Refusal("", failure.New(failure.Stopping, "the entry ended"), failure.NotRun))
	}
	return c.JSON(http.StatusOK, IDs{ids})
}

func (e *Entry) newIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		for range drawsForOne {
			out[i] = uuid.Must(uuid.NewV7()).String()
			if e.core.CanClaim(out[i]) {
				break
			}
		}
	}
	return out
}
