package capacity

import (
	"context"
	"syscall"
	"time"

	"github.com/lichenfall/lichenfall/fakebackend"
	"github.com/lichenfall/lichenfall/load"
	"github.com/lichenfall/lichenfall/local"
	"github.com/lichenfall/lichenfall/logging"
)

const (
	idleTime = 5 * time.Second
	loadTime = 5 * time.Second
)

// cpu returns the processor seconds that this process has used.
func cpu() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// idle measures a system of entries and agents that does nothing: cores used
// and bytes held, for each number of agents.
func idle(ctx context.Context, entries int, agents []int) (cores, bytes Slope, err error) {
	var cs, bs []Point
	for _, n := range agents {
		before := heap()
		c, err := local.Start(ctx, local.Options{Entries: entries, Agents: n, Log: logging.Discard()})
		if err != nil {
			return Slope{}, Slope{}, err
		}
		used := cpu()
		time.Sleep(idleTime)
		cs = append(cs, Point{float64(n), (cpu() - used) / idleTime.Seconds()})
		bs = append(bs, Point{float64(n), heap() - before})
		c.Close()
	}
	return Fit(cs), Fit(bs), nil
}

// busy measures the processor seconds for each task of a whole system in one
// process, callers and stand-ins included, so that it bounds each role's share.
func busy(ctx context.Context, agents int, jobsPerSec []float64) (Slope, error) {
	c, err := local.Start(ctx, local.Options{Entries: 2, Agents: agents, Backend: fakebackend.Settings{}, Log: logging.Discard()})
	if err != nil {
		return Slope{}, err
	}
	defer c.Close()
	fanOut, err := load.ParseDistribution("const:20")
	if err != nil {
		return Slope{}, err
	}
	taskTime, err := load.ParseDistribution("const:50")
	if err != nil {
		return Slope{}, err
	}
	var points []Point
	for _, rate := range jobsPerSec {
		used := cpu()
		s := load.Run(ctx, load.Plan{
			Entries: c.URLs(), Team: local.Team, Pool: local.Pool, Arrivals: load.Arrivals{Rate: rate},
			FanOut: fanOut, TaskTime: taskTime, Duration: loadTime, Timeout: 10 * time.Second, MaxFanOut: tasksPerJob,
		}, nil).Summary()
		points = append(points, Point{float64(s.Tasks) / s.Seconds, (cpu() - used) / s.Seconds})
	}
	return Fit(points), nil
}
