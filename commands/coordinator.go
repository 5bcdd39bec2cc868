package commands

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/coordinator"
	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/platform"
)

func init() {
	register(command{
		name:    "coordinator",
		summary: "Run a coordinator of jobs on the users' platform",
		usage: "Takes jobs from the platform's clients, keeps them in its store and has workers run them. SIGTERM makes a " +
			"planned stop; SIGHUP reads the log level again.",
		flags: &coordinatorCommand{},
	})
}

// coordinatorCommand runs a coordinator.
type coordinatorCommand struct {
	jobDaemon
}

// Execute runs a coordinator until a stop signal, then makes a planned stop.
func (c *coordinatorCommand) Execute([]string) error {
	cfg := config.DefaultCoordinator()
	defer c.shutdown()
	if err := c.start("coordinator", commonSettings{cfg, &cfg.Process, &cfg.Log, &cfg.Store, &cfg.Admin}); err != nil {
		return err
	}
	k, err := coordinator.Start(cfg, c.store, c.metrics, c.log)
	if err != nil {
		return err
	}
	c.state.setSource(func() any {
		if o, ok := k.Overview(); ok {
			return o
		}
		return nil
	})
	ready, err := serveOn(cfg.Serving.Ready, platform.ReadyHandler(k), cfg.Serving.MaxConns)
	if err != nil {
		return err
	}
	defer ready.Close()
	jobs, err := serveOn(cfg.Serving.Listen, platform.JobsHandler(k), cfg.Serving.MaxConns)
	if err != nil {
		return err
	}
	c.signals.waitForStop(func() { reloadLevel(&c.settingsFlag, config.DefaultCoordinator(), c.log) })
	c.stop(k, jobs, cfg.Process.Grace.D())
	return nil
}

// How the grace period of a planned stop is divided: drainParts of graceParts to serve callers
// while the load balancer notices that the coordinator is not ready, which takes it up to 2 s;
// one part for the requests in flight after that.
const (
	drainParts = 3
	graceParts = 5
)

// stop makes a planned stop within the grace period. Callers are served until the load
// balancer has had the time to notice that the coordinator is not ready, and those with
// requests in flight until these are answered.
func (c *coordinatorCommand) stop(k *coordinator.Coordinator, jobs *web.Server, grace time.Duration) {
	k.Drain()
	time.Sleep(grace * drainParts / graceParts)
	ctx, cancel := context.WithTimeout(context.Background(), grace/graceParts)
	defer cancel()
	if err := jobs.Drain(ctx); err != nil {
		c.log.Warn("stopped_with_calls", zap.Error(err))
	}
	k.Close()
}
