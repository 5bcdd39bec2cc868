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

type coordinatorCommand struct {
	jobDaemon
}

// Execute runs the command.
func (c *coordinatorCommand) Execute([]string) error {
	cfg := config.DefaultCoordinator()
	defer c.end()
	if err := c.begin("coordinator", common{cfg, &cfg.Process, &cfg.Log, &cfg.Store, &cfg.Admin}); err != nil {
		return err
	}
	k, err := coordinator.Start(cfg, c.store, c.metrics, c.log)
	if err != nil {
		return err
	}
	c.state.from(func() any {
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
	c.signals.untilStop(func() { reloadLevel(&c.settingsFlag, config.DefaultCoordinator(), c.log) })
	c.stop(k, jobs, cfg.Process.Grace.D())
	return nil
}

// The part of the grace for which callers are served after a stop signal. The balancer takes
// up to 2 s to see that we are not ready.
const (
	drainPart  = 3 // fifths of it
	drainWhole = 5 // the others are for requests in flight
)

// stop makes a planned stop within the grace. The balancer needs to see that we
// are not ready; until then, and on open connections, callers are still served.
func (c *coordinatorCommand) stop(k *coordinator.Coordinator, jobs *web.Server, grace time.Duration) {
	k.Drain()
	time.Sleep(grace * drainPart / drainWhole)
	ctx, cancel := context.WithTimeout(context.Background(), grace/drainWhole)
	defer cancel()
	if err := jobs.Drain(ctx); err != nil {
		c.log.Warn("stopped_with_calls", zap.Error(err))
	}
	k.Close()
}
