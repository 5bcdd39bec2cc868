package commands

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/coordinator"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/platform"
)

func init() {
	register(command{
		name:    "coordinator",
		summary: "Run a coordinator of kept jobs on the users' platform",
		usage: "Takes jobs from the platform's clients, keeps them in its store and has workers run them. SIGTERM makes a " +
			"planned stop; SIGHUP reads the settings again.",
		flags: &coordinatorCommand{},
	})
}

type coordinatorCommand struct {
	settingsFlag
}

// Execute runs the command.
func (c *coordinatorCommand) Execute([]string) error {
	sig := watchSignals()
	cfg := config.DefaultCoordinator()
	if err := c.load(cfg); err != nil {
		return err
	}
	limitMemory(cfg.Process)
	log, err := logging.NewAsync(os.Stdout, cfg.Log.Level)
	if err != nil {
		return usageError(err)
	}
	reg := metrics.New("coordinator")
	defer reg.Close()
	s := platform.NewStore(cfg.Store.Address, func(err error) { log.Warn("configuration_unreadable", zap.Error(err)) })
	k, err := coordinator.Start(cfg, s, metrics.NewJobs(reg.Scope), log)
	if err != nil {
		return err
	}
	admin, err := operate(cfg.Admin.Listen, reg, log)
	if err != nil {
		return err
	}
	defer admin.Close()
	ready, err := serveOn(cfg.Serving.Ready, platform.ReadyHandler(k), cfg.Serving.MaxConns)
	if err != nil {
		return err
	}
	defer ready.Close()
	jobs, err := serveOn(cfg.Serving.Listen, platform.JobsHandler(k), cfg.Serving.MaxConns)
	if err != nil {
		return err
	}
	sig.untilStop(func() { reloadLevel(&c.settingsFlag, cfg, &cfg.Log, log) })
	k.Drain()
	// The balancer needs to see that we are not ready; until then, and on open
	// connections, callers are still served.
	time.Sleep(cfg.Process.Grace.D() * drainPart / drainWhole)
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Process.Grace.D()/drainWhole)
	defer cancel()
	_ = jobs.Drain(ctx)
	k.Close()
	return nil
}

// The part of the grace that callers are served for after a stop signal.
const (
	drainPart  = 3
	drainWhole = 5
)
