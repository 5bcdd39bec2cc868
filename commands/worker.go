package commands

import (
	"os"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/worker"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/platform"
)

func init() {
	register(command{
		name:    "worker",
		summary: "Run a worker beside an executor of the users' platform",
		usage: "Runs the tasks that coordinators order on the executor of this box, and keeps the lease that they run under. " +
			"SIGTERM ends it; what runs goes on under its lease. SIGHUP reads the settings again.",
		flags: &workerCommand{},
	})
}

type workerCommand struct {
	settingsFlag
}

// workerConns is how many connections the backend server may have to us.
const workerConns = 16

// Execute runs the command.
func (c *workerCommand) Execute([]string) error {
	sig := watchSignals()
	cfg := config.DefaultWorker()
	if err := c.load(cfg); err != nil {
		return err
	}
	limitMemory(cfg.Process)
	log, err := logging.NewAsync(os.Stdout, cfg.Log.Level)
	if err != nil {
		return usageError(err)
	}
	reg := metrics.New("worker")
	defer reg.Close()
	s := platform.NewStore(cfg.Store.Address, func(err error) { log.Warn("configuration_unreadable", zap.Error(err)) })
	w, err := worker.Start(cfg, platform.NewExecutor(cfg.Backend.Address), s, metrics.NewJobs(reg.Scope), log)
	if err != nil {
		return err
	}
	control, err := serveOn(cfg.Backend.Listen, platform.ControlHandler(w), workerConns)
	if err != nil {
		return err
	}
	defer control.Close()
	admin, err := operate(cfg.Admin.Listen, reg, log)
	if err != nil {
		return err
	}
	defer admin.Close()
	sig.untilStop(func() { reloadLevel(&c.settingsFlag, cfg, &cfg.Log, log) })
	w.Close()
	return nil
}
