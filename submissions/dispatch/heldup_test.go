package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/submissions/dispatch"
	"github.com/lichenfall/lichenfall/wire"
)

// TestHeldUpRunsRefuseNoJob guards against jobs that are refused beside capacity: a pause of the box has held
// up the one run that each slot has had, and 160 tasks wait at each agent that take 5 ms. A job that has 26 s
// would be done in 0.2 s.
func TestHeldUpRunsRefuseNoJob(t *testing.T) {
	RegisterTestingT(t)
	const (
		heldUp = 1500 * time.Millisecond
		slots  = 8 // of each agent
		held   = 160
	)
	f := newFixture(func(s *dispatch.Settings) { s.MaxWait = time.Minute })
	for agent, m := range f.granted(1, f.submission(3*slots)) {
		r := &wire.Results{Load: wire.Load{Running: held, Slots: slots}}
		for _, task := range m.Tasks {
			r.Items = append(r.Items, wire.Result{Job: m.Job, Index: task.Index, Attempt: 1, Ran: uint8(failure.DidRun), RunMicros: uint64(heldUp.Microseconds()), Body: []byte("1")})
		}
		f.core.HandleMessage(f.now, agent, r)
	}
	f.core.Take()
	s := f.submission(2)
	s.Deadline = f.now.Add(26 * time.Second)
	if placed := f.granted(2, s); len(placed) == 0 {
		t.Errorf("refused: %+v", f.answered[2].Error)
	}
}
