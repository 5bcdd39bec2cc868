package commands

import (
	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/worker"
	"github.com/lichenfall/lichenfall/platform"
)

func init() {
	register(command{
		name:    "worker",
		summary: "Run a worker beside a backend server of the users' platform",
		usage: "Runs the tasks that coordinators order on the backend server of this box, and keeps the lease that they run under. " +
			"SIGTERM ends it; what runs goes on under its lease. SIGHUP reads the log level again.",
		flags: &workerCommand{},
	})
}

// workerCommand runs a worker.
type workerCommand struct {
	jobDaemon
}

// workerConns is how many connections the backend server may open to the worker; it needs one.
const workerConns = 16

// Execute runs a worker until a stop signal, then ends it; its runs continue under their lease.
func (c *workerCommand) Execute([]string) error {
	cfg := config.DefaultWorker()
	defer c.shutdown()
	if err := c.start("worker", commonSettings{cfg, &cfg.Process, &cfg.Log, &cfg.Store, &cfg.Admin}); err != nil {
		return err
	}
	backend := platform.NewExecutor(cfg.Backend.Address, c.reportFault)
	w, err := worker.Start(cfg, backend, c.store, c.metrics, c.log)
	if err != nil {
		return err
	}
	c.state.setSource(func() any {
		if o, ok := w.Overview(); ok {
			return o
		}
		return nil
	})
	control, err := serveOn(cfg.Backend.Listen, platform.ControlHandler(w, c.reportFault), workerConns)
	if err != nil {
		return err
	}
	defer control.Close()
	c.signals.waitForStop(func() { reloadLevel(&c.settingsFlag, config.DefaultWorker(), c.log) })
	w.Close()
	return nil
}
