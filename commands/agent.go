package commands

import (
	"context"
	"fmt"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/submissions/agent"
)

func init() {
	register(command{
		name:    "agent",
		summary: "Run an agent beside a backend server",
		usage: "Runs the daemon that hands tasks to the backend server on its box and holds claims. " +
			"The first SIGTERM or SIGINT makes a planned stop: queued tasks are handed back as not run, " +
			"started ones end. A second one ends it at once.",
		flags: &agentCommand{},
	})
}

// agentCommand runs an agent.
type agentCommand struct {
	Config string `long:"config" short:"c" required:"true" value-name:"FILE" description:"settings of the agent"`
}

// Execute runs an agent until a stop signal, then waits up to backend.stop_timeout for its tasks.
func (c *agentCommand) Execute([]string) error {
	cfg := config.DefaultAgent()
	if err := config.Load(c.Config, cfg); err != nil {
		return usageError(err)
	}
	log, err := logging.New(cfg.Log.Level, cfg.Log.Format)
	if err != nil {
		return usageError(err)
	}
	a, err := agent.Start(cfg, log)
	if err != nil {
		return err
	}
	fmt.Printf("agent ready to be asked: peers %s admin %s\n", a.Addr(), a.AdminAddr())
	ctx, cancel := signalContext()
	defer cancel()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), cfg.Backend.StopTimeout.D())
	defer cancel()
	a.Stop(stopCtx)
	return nil
}
