package commands

import (
	"fmt"

	"github.com/lichenfall/lichenfall/submissions/fakeboxlist"
)

func init() {
	register(command{
		name:    "fake-platform",
		summary: "Run a stand-in for the platform's box list",
		usage: "Serves the box list that entries read. POST /admin/faults with a JSON object of outage, delay_ms, " +
			"list_lag_ms makes it misbehave; POST /admin/boxes sets the list.",
		flags: &fakeBoxListCommand{},
	})
}

// fakeBoxListCommand runs a stand-in for the platform's box list.
type fakeBoxListCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:9100" value-name:"ADDR" description:"IP number and port"`
}

// Execute runs the stand-in until a stop signal.
func (c *fakeBoxListCommand) Execute([]string) error {
	p, err := fakeboxlist.New(c.Listen)
	if err != nil {
		return err
	}
	defer p.Close()
	fmt.Println("stand-in platform at", p.URL())
	ctx, cancel := signalContext()
	defer cancel()
	<-ctx.Done()
	return nil
}
