package metrics_test

import (
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/lib/golden"
	"github.com/lichenfall/lichenfall/metrics"
)

// TestNames compares the names and labels of all metrics with the golden file: the operators'
// dashboards and alerts refer to them.
func TestNames(t *testing.T) {
	r := metrics.New("role")
	metrics.NewAgent(r.Scope)
	metrics.NewDispatch(r.Scope)
	jobs := metrics.NewJobs(r.Scope, []string{"join"}, 2)
	jobs.Call(1, "none", time.Millisecond)
	jobs.Commit("ok", 1, time.Millisecond)
	jobs.Decision("run_ended")
	jobs.JobRefused(0)
	jobs.JobBegun(1, time.Millisecond)
	r.Close()
	w := httptest.NewRecorder()
	r.Handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	value := regexp.MustCompile(` [^ }]+$`)
	var lines []string
	for _, l := range strings.Split(w.Body.String(), "\n") {
		if strings.HasPrefix(l, "lichenfall_") {
			lines = append(lines, value.ReplaceAllString(l, ""))
		}
	}
	slices.Sort(lines)
	golden.Check(t, "names.golden", strings.Join(lines, "\n")+"\n")
}
