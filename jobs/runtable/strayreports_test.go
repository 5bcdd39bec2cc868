package runtable_test

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/runtable"
)

// strayCase is a table whose backend server is known by its reports.
type strayCase struct {
	*fixture
	number uint64 // of the last report of the backend server
}

func newStrayCase(t *testing.T) *strayCase {
	gomega.RegisterTestingT(t)
	c := &strayCase{fixture: newFixture().ready()}
	c.report(true)
	return c
}

// report sends the next report of the backend server.
func (c *strayCase) report(ready bool) {
	c.number++
	id := identity
	id.Ready = ready
	c.now = c.now.Add(500 * time.Millisecond)
	c.table.Reported(c.now, runtable.Report{Identity: id, Number: c.number})
}

// stray sends a report of another writer, which names the incarnation in force.
func (c *strayCase) stray(service string, number uint64) {
	id := identity
	id.Service = service
	id.Capacity.CPU = 1
	c.table.Reported(c.now, runtable.Report{Identity: id, Number: number})
}

func (c *strayCase) expectSound(t *testing.T) {
	t.Helper()
	want := identity
	want.Ready = c.table.Identity().Ready
	if got := c.table.Identity(); !got.Equal(&want) {
		t.Errorf("the identity is %+v", got)
	}
}

// TestReportOfAnotherServiceChangesNothing guards against a server that is lost for good to one report of
// another writer: its service and number took the place of the server's own, whose reports then counted as
// overtaken.
func TestReportOfAnotherServiceChangesNothing(t *testing.T) {
	for _, number := range []uint64{0, 2, 1000, math.MaxUint64} {
		c := newStrayCase(t)
		c.stray("stray", number)
		c.expectSound(t)
		c.report(false)
		c.expectSound(t)
		if c.table.Identity().Ready {
			t.Errorf("after a stray report with number %d the server's own do not count", number)
		}
	}
}

// TestServiceIsSettledByTheConfiguration guards against the same where the other writer's report comes
// first: the configuration decides between two services.
func TestServiceIsSettledByTheConfiguration(t *testing.T) {
	c := newStrayCase(t)
	sound := identity
	other := sound
	other.Instance, other.Service = "i-2", "stray"
	c.table.Reported(c.now, runtable.Report{Identity: other, Number: 50})
	e := c.take()
	c.table.ProbeAnswered(c.now, *e.Probe, runtable.RenewOK)
	c.take()
	sound.Instance = "i-2"
	c.table.Reported(c.now, runtable.Report{Identity: sound, Number: 1})
	if !c.take().Services {
		t.Fatal("the services of the configuration are not asked for")
	}
	c.table.SetServices(c.now, []string{"another", sound.Service})
	if got := c.table.Identity(); !got.Equal(&sound) {
		t.Errorf("the identity is %+v", got)
	}
	sound.Ready = false
	c.table.Reported(c.now, runtable.Report{Identity: sound, Number: 2})
	if c.table.Identity().Ready {
		t.Error("the next report of the server does not count")
	}
}

// TestNumberOfAnotherWriterDoesNotCountForEver guards against a drain or a lower capacity that is never
// noticed, since a report with the server's own service and a very large number came before.
func TestNumberOfAnotherWriterDoesNotCountForEver(t *testing.T) {
	c := newStrayCase(t)
	c.table.Reported(c.now, runtable.Report{Identity: identity, Number: math.MaxUint64})
	for range 10 {
		c.report(false)
	}
	c.expectSound(t)
	if c.table.Identity().Ready {
		t.Error("ten reports later the drain is not noticed")
	}
}

// TestDelayedReportsDoNotCount checks that reports which a cut has delayed are not taken for the server's
// present ones, however many arrive.
func TestDelayedReportsDoNotCount(t *testing.T) {
	c := newStrayCase(t)
	c.number = 100
	for n := range uint64(40) {
		c.report(false)
		late := identity // ready
		c.table.Reported(c.now, runtable.Report{Identity: late, Number: 20 + n})
		if c.table.Identity().Ready {
			t.Fatalf("delayed report %d counts", n)
		}
	}
}
