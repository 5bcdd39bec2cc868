package commands

import (
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/metrics"
)

// settingsVariable is the environment variable that names the settings file if --config is absent.
const settingsVariable = "LICHENFALL_SETTINGS"

// settingsFlag is the option --config of the daemons that the platform starts.
type settingsFlag struct {
	Config string `long:"config" short:"c" value-name:"FILE" description:"settings file; without it, the file that LICHENFALL_SETTINGS names"`
}

// load reads the settings file into s, which holds the defaults.
func (f *settingsFlag) load(s config.Settings) error {
	file := f.Config
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	if err := config.Load(file, s); err != nil {
		return usageError(err)
	}
	return nil
}

// heapShare is the share of process.memory_mib that the Go runtime uses before it collects
// garbage more often.
const heapShare = 0.6

// limitMemory sets the memory limit of the Go runtime, if the settings have a limit for the box.
func limitMemory(p config.Process) {
	if p.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(p.MemoryMiB<<20)))
	}
}

// serveAdmin serves the operators' endpoints of a daemon: metrics, log level and /v1/state.
func serveAdmin(listen string, reg *metrics.Registry, log *logging.Log, o *stateHandler) (*web.Server, error) {
	e := web.NewEcho()
	web.AddOperatorEndpoints(e, reg.Handler, log.Level)
	e.GET("/v1/state", o.serve)
	return web.Listen(listen, e, web.DefaultLimits())
}

// stateHandler serves the state of a daemon to operators. Without a source it answers 503.
type stateHandler struct{ source atomic.Pointer[func() any] }

// setSource sets the function that returns the state; it returns nil once the daemon has ended.
func (o *stateHandler) setSource(source func() any) { o.source.Store(&source) }

// serve answers with the state as JSON, or with 503 before the daemon has started and after it
// has ended.
func (o *stateHandler) serve(c echo.Context) error {
	source := o.source.Load()
	if source == nil {
		return c.String(http.StatusServiceUnavailable, "it has only begun, or has no state to show\n")
	}
	state := (*source)()
	if state == nil {
		return c.String(http.StatusServiceUnavailable, "it ends\n")
	}
	return c.JSON(http.StatusOK, state)
}

// signals are the signals that the platform sends to a daemon.
type signals struct {
	stop   chan os.Signal // SIGINT and SIGTERM
	reload chan os.Signal // SIGHUP
}

// watchSignals starts to receive the signals, so that none ends the process by default.
func watchSignals() signals {
	s := signals{make(chan os.Signal, 2), make(chan os.Signal, 1)}
	signal.Notify(s.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// waitForStop waits for the stop signal, and calls reload at each reload signal.
func (s signals) waitForStop(reload func()) {
	for {
		select {
		case <-s.reload:
			reload()
		case <-s.stop:
			return
		}
	}
}

// reloadLevel reads the settings file again, into fresh, which holds the defaults, and
// applies its log level, the only setting that can change while the daemon runs. The
// settings in use are not changed, since other goroutines read them. If the file is
// invalid, it logs that and changes nothing.
func reloadLevel(f *settingsFlag, fresh config.Settings, log *logging.Log) {
	if err := f.load(fresh); err != nil {
		log.Warn("reload_failed", zap.Error(err))
		return
	}
	level := fresh.LogLevel()
	if l, err := zap.ParseAtomicLevel(level); err == nil {
		log.Level.SetLevel(l.Level())
	}
	log.Info("reloaded", zap.String("level", level))
}

// serveOn serves a handler with the default limits, but for the number of connections.
func serveOn(listen string, h http.Handler, conns int) (*web.Server, error) {
	limits := web.DefaultLimits()
	limits.Conns = conns
	return web.Listen(listen, h, limits)
}
