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

// IDs is the response to a request for new submission IDs.
type IDs struct {
	IDs []string `json:"ids"`
}

const (
	maxIDsPerRequest = 1000
	maxIDDraws       = 64 // random IDs drawn, at most, to find one whose holder is connected
)

// ids responds with new submission IDs that can be claimed now, because their holders are
// connected. A caller that fetches its IDs shortly before it submits doesn't wait for a claim at an
// agent that is down.
func (e *Entry) ids(c echo.Context) error {
	n, err := strconv.Atoi(c.QueryParam("count"))
	if err != nil || n < 1 || n > maxIDsPerRequest {
		f := failure.InField(failure.BadRequest, "count", "not a number in range", fmt.Sprintf("1 to %d", maxIDsPerRequest))
		return respond(c, job.Refusal("", f, failure.NotRun))
	}
	ids, ok := loop.Call(e.loop, func(answer chan<- []string) event { return event{kind: evIDs, count: n, ids: answer} })
	if !ok {
		return respond(c, job.Refusal("", failure.New(failure.Stopping, "the entry ended"), failure.NotRun))
	}
	return c.JSON(http.StatusOK, IDs{ids})
}

// newIDs returns n new IDs. An ID for which maxIDDraws draws found no claimable one is returned all
// the same.
func (e *Entry) newIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		for range maxIDDraws {
			out[i] = uuid.Must(uuid.NewV7()).String()
			if e.core.CanClaim(out[i]) {
				break
			}
		}
	}
	return out
}
