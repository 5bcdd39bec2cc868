package commands

import (
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/fakeplatform"
)

func init() {
	register(command{
		name:    "fake-platform",
		summary: "Run a stand-in for the platform's log and box list",
		usage: "Runs a log with offsets, a rate limit and retention, and a box list. POST /admin/faults with a JSON " +
			"object of outage, delay_ms, lose_answer, list_lag_ms makes it misbehave; POST /admin/boxes sets the list.",
		flags: &fakePlatformCommand{},
	})
}

type fakePlatformCommand struct {
	Listen    string        `long:"listen" default:"127.0.0.1:9100" value-name:"ADDR" description:"IP number and port"`
	Appends   float64       `long:"appends" default:"100" description:"appends a second, at most"`
	Retention time.Duration `long:"retention" default:"1h" description:"how long records are kept; 0 means for good"`
	Synced    time.Duration `long:"append-time" default:"4ms" description:"how long an append takes"`
	Seed      uint64        `long:"seed" default:"1" description:"of the random choices"`
}

// Execute runs the command.
func (c *fakePlatformCommand) Execute([]string) error {
	p, err := fakeplatform.New(fakeplatform.Settings{
		Listen: c.Listen, AppendsPerSec: c.Appends, Retention: c.Retention, AppendTime: c.Synced,
	}, c.Seed)
	if err != nil {
		return err
	}
	defer p.Close()
	fmt.Println("stand-in platform at", p.URL())
	run, cancel := untilSignal()
	defer cancel()
	<-run.Done()
	return nil
}
