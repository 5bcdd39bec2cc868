package commands

import (
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/platform"
)

// jobDaemon holds what the daemons of coordinators and workers have in common. It owns the
// admin server and the metrics; shutdown ends both.
type jobDaemon struct {
	settingsFlag
	signals  signals
	log      *logging.Log
	metrics  *metrics.Jobs
	store    *platform.Store
	admin    *web.Server
	registry *metrics.Registry
	state    stateHandler
}

// commonSettings are the settings of a daemon and those of their sections that both roles have.
type commonSettings struct {
	settings config.Settings
	process  *config.Process
	log      *config.Log
	store    *config.StoreAddress
	admin    *config.Admin
}

// start reads the settings and starts the log, the metrics, the store's client and the admin
// server. shutdown must be called after it, even if it returns an error.
func (d *jobDaemon) start(role string, c commonSettings) error {
	d.signals = watchSignals()
	if err := d.load(c.settings); err != nil {
		return err
	}
	limitMemory(*c.process)
	var err error
	if d.log, err = logging.NewAsync(os.Stdout, c.log.Level); err != nil {
		return usageError(err)
	}
	d.registry = metrics.New(role)
	d.metrics = metrics.NewJobs(d.registry.Scope, platform.StoreCallKinds(), scheduler.Classes)
	d.store = platform.NewStore(c.store.Address, d.reportFault).Metered(d.metrics)
	d.admin, err = serveAdmin(c.admin.Listen, d.registry, d.log, &d.state)
	return err
}

// shutdown ends what start has started.
func (d *jobDaemon) shutdown() {
	if d.admin != nil {
		d.admin.Close()
	}
	if d.registry != nil {
		d.registry.Close()
	}
}

// reportFault counts and logs a fault of the platform's adapter: something that it could not
// read or reach. It is a platform.FaultFunc.
func (d *jobDaemon) reportFault(what string, err error) {
	d.metrics.Decision(what)
	d.log.Fault(time.Now(), what, zap.Error(err))
}
