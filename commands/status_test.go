package commands

import (
	"bytes"
	"strings"
	"testing"

	"github.com/lichenfall/lichenfall/jobs/coordinator"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
)

func TestOverviewShowsSpeed(t *testing.T) {
	var out bytes.Buffer
	printOverview(&out, &coordinator.Overview{Workers: []scheduler.WorkerView{
		{Address: "10.1.0.1:7480", TimeFactor: 160, Slowness: 95},
		{Address: "10.1.0.2:7480"},
	}})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for i, want := range []string{"TIME FACTOR  SLOWNESS", "160%         95%", "-            -"} {
		if got := lines[len(lines)-3+i]; !strings.Contains(got, want) {
			t.Errorf("want %q in %q", want, got)
		}
	}
}
