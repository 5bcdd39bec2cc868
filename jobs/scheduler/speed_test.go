package scheduler

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// coreWithSpeed returns a core with a worker that has reported a time factor in percent.
func coreWithSpeed(bySpeed bool, instance string, percent uint32) (*Core, *worker) {
	c := New(Settings{Load: LoadPolicy{PlaceBySpeed: bySpeed}}, 1)
	c.WorkerUp(time.Unix(1000, 0), "w", "a")
	c.Status(time.Unix(1000, 0), "w", statusOf(instance, percent))
	return c, c.workers["w"]
}

func statusOf(instance string, percent uint32) *wire.WorkerStatus {
	return &wire.WorkerStatus{Stamp: 1, Ready: true, TimeFactor: percent, Identity: &wire.BackendIdentity{Instance: instance, Service: "s"}}
}

func TestTimeFactor(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name string
		w    func() *worker
		want float64
	}{
		{"told", func() *worker { _, w := coreWithSpeed(true, "i", 160); return w }, 1.6},
		{"not known", func() *worker { _, w := coreWithSpeed(true, "i", 0); return w }, 1},
		{"all servers are taken to be equally fast", func() *worker { _, w := coreWithSpeed(false, "i", 160); return w }, 1},
		{"the worker process has restarted", func() *worker {
			c, w := coreWithSpeed(true, "i", 160)
			c.WorkerUp(now, "w", "a")
			c.Status(now, "w", statusOf("i", 0))
			return w
		}, 1.6},
		{"the worker process has restarted and sent no status yet", func() *worker {
			c, w := coreWithSpeed(true, "i", 160)
			c.WorkerUp(now, "w", "a")
			return w
		}, 1},
		{"the restarted worker process reports a new factor", func() *worker {
			c, w := coreWithSpeed(true, "i", 160)
			c.WorkerUp(now, "w", "a")
			c.Status(now, "w", statusOf("i", 150))
			return w
		}, 1.5},
		{"the next incarnation has the same ID", func() *worker {
			c, w := coreWithSpeed(true, "i@1000", 160)
			c.Status(now, "w", statusOf("i@2000", 0))
			return w
		}, 1},
	} {
		if got := tc.w().timeFactor(); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestSpeedIsShown checks the speed of a worker that operators see, also where speed is not used.
func TestSpeedIsShown(t *testing.T) {
	for _, bySpeed := range []bool{true, false} {
		c, _ := coreWithSpeed(bySpeed, "i", 160)
		if v := c.Workers()[0]; v.TimeFactor != 160 || v.Slowness != 0 {
			t.Errorf("by speed %t: time factor %d, slowness %d", bySpeed, v.TimeFactor, v.Slowness)
		}
	}
}
