package commands

import (
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

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

// operate serves the operators' endpoints of a daemon.
func operate(listen string, reg *metrics.Registry, log *logging.Log) (*web.Server, error) {
	e := web.NewEcho()
	web.Operate(e, reg.Handler, log.Level)
	return web.Listen(listen, e, web.DefaultLimits())
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
