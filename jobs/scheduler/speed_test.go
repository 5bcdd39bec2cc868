package scheduler

import (
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// speedTold is a worker that has said how fast its backend server is.
func speedTold(bySpeed bool, instance string, percent uint32) (*Core, *worker) {
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
		{"told", func() *worker { _, w := speedTold(true, "i", 160); return w }, 1.6},
		{"not known", func() *worker { _, w := speedTold(true, "i", 0); return w }, 1},
		{"servers are taken to be alike", func() *worker { _, w := speedTold(false, "i", 160); return w }, 1},
		{"the worker process begins anew", func() *worker {
			c, w := speedTold(true, "i", 160)
			c.WorkerUp(now, "w", "a")
			c.Status(now, "w", statusOf("i", 0))
			return w
		}, 1.6},
		{"the worker process begins anew and has said nothing yet", func() *worker {
			c, w := speedTold(true, "i", 160)
			c.WorkerUp(now, "w", "a")
			return w
		}, 1},
		{"the restarted worker knows again", func() *worker {
			c, w := speedTold(true, "i", 160)
			c.WorkerUp(now, "w", "a")
			c.Status(now, "w", statusOf("i", 150))
			return w
		}, 1.5},
		{"the next life has the same ID", func() *worker {
			c, w := speedTold(true, "i@1000", 160)
			c.Status(now, "w", statusOf("i@2000", 0))
			return w
		}, 1},
	} {
		if got := tc.w().timeFactor(); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestSpeedIsShown holds what operators see of a worker's speed, also where it is not used.
func TestSpeedIsShown(t *testing.T) {
	for _, bySpeed := range []bool{true, false} {
		c, _ := speedTold(bySpeed, "i", 160)
		if v := c.Workers()[0]; v.TimeFactor != 160 || v.Slowness != 0 {
			t.Errorf("by speed %t: time factor %d, slowness %d", bySpeed, v.TimeFactor, v.Slowness)
		}
	}
}
