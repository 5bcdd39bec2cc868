package commands

import (
	"context"
	"fmt"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/submissions/entry"
)

func init() {
	register(command{
		name:    "entry",
		summary: "Run an entry",
		usage: "Runs the daemon that callers talk to. The first SIGTERM or SIGINT makes a planned stop: " +
			"new submissions are refused, those in flight are answered. A second one ends it at once.",
		flags: &entryCommand{},
	})
}

// entryCommand runs an entry.
type entryCommand struct {
	Config string `long:"config" short:"c" required:"true" value-name:"FILE" description:"settings of the entry"`
}

// Execute runs an entry until a stop signal, then waits up to jobs.stop_timeout for its jobs.
func (c *entryCommand) Execute([]string) error {
	cfg := config.DefaultEntry()
	if err := config.Load(c.Config, cfg); err != nil {
		return usageError(err)
	}
	log, err := logging.New(cfg.Log.Level, cfg.Log.Format)
	if err != nil {
		return usageError(err)
	}
	e, err := entry.Start(cfg, log)
	if err != nil {
		return err
	}
	fmt.Printf("entry ready to be asked: http %s peers %s\n", e.Addr(), e.PeerAddr())
	ctx, cancel := signalContext()
	defer cancel()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), cfg.Jobs.StopTimeout.D())
	defer cancel()
	e.Stop(stopCtx)
	return nil
}
