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

// settingsVariable names the settings file where no --config is given.
const settingsVariable = "LICHENFALL_SETTINGS"

// settingsFlag is shared by the daemons that the platform starts.
type settingsFlag struct {
	Config string `long:"config" short:"c" value-name:"FILE" description:"settings file; without it, the file that LICHENFALL_SETTINGS names"`
}

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

// memoryShare is the share of the box's memory that the heap may take before
// the garbage collector works harder.
const memoryShare = 0.6

func limitMemory(p config.Process) {
	if p.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.MemoryMiB<<20)))
	}
}

// operate serves the operators' endpoints of a daemon, and what it says of itself.
func operate(listen string, reg *metrics.Registry, log *logging.Log, o *overview) (*web.Server, error) {
	e := web.NewEcho()
	web.AddOperatorEndpoints(e, reg.Handler, log.Level)
	e.GET("/v1/state", o.serve)
	return web.Listen(listen, e, web.DefaultLimits())
}

// overview is what a daemon says of itself to operators, once it has begun.
type overview struct{ source atomic.Pointer[func() any] }

// from sets the source of the overview; nil is what it gives after the daemon's end.
func (o *overview) from(source func() any) { o.source.Store(&source) }

func (o *overview) serve(c echo.Context) error {
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

// signals is what the platform tells a daemon.
type signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

func watchSignals() signals {
	s := signals{make(chan os.Signal, 2), make(chan os.Signal, 1)}
	signal.Notify(s.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// untilStop waits for the stop signal, and reloads at each reload signal.
func (s signals) untilStop(reload func()) {
	for {
		select {
		case <-s.reload:
			reload()
		case <-s.stop:
			return
		}
	}
}

// reloadLevel reads the settings again, into fresh, which holds the defaults; only
// the log's level can change while the daemon runs. The settings in use are read
// by other goroutines, and stay.
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

// serveOn serves a handler with the usual limits.
func serveOn(listen string, h http.Handler, conns int) (*web.Server, error) {
	limits := web.DefaultLimits()
	limits.Conns = conns
	return web.Listen(listen, h, limits)
}
