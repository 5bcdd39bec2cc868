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

// jobDaemon is what coordinators and workers start alike.
type jobDaemon struct {
	settingsFlag
	signals signals
	log     *logging.Log
	metrics *metrics.Jobs
	store   *platform.Store
	admin   *web.Server
	reg     *metrics.Registry
	state   overview
}

// common are the sections that the settings of both roles have.
type common struct {
	settings config.Settings
	process  *config.Process
	log      *config.Log
	store    *config.StoreAddress
	admin    *config.Admin
}

// begin reads the settings and starts what does not depend on the role. end is to
// be called after it, whatever it returns.
func (d *jobDaemon) begin(role string, c common) error {
	d.signals = watchSignals()
	if err := d.load(c.settings); err != nil {
		return err
	}
	limitMemory(*c.process)
	var err error
	if d.log, err = logging.NewAsync(os.Stdout, c.log.Level); err != nil {
		return usageError(err)
	}
	d.reg = metrics.New(role)
	d.metrics = metrics.NewJobs(d.reg.Scope, platform.StoreCallKinds(), scheduler.Classes)
	d.store = platform.NewStore(c.store.Address, d.report).Metered(d.metrics)
	d.admin, err = operate(c.admin.Listen, d.reg, d.log, &d.state)
	return err
}

func (d *jobDaemon) end() {
	if d.admin != nil {
		d.admin.Close()
	}
	if d.reg != nil {
		d.reg.Close()
	}
}

// report counts and logs what the adapter could not read or reach. It is a
// platform.FaultFunc.
func (d *jobDaemon) report(what string, err error) {
	d.metrics.Decision(what)
	d.log.Fault(time.Now(), what, zap.Error(err))
}
