package commands

import (
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/submissions/fakebackend"
)

func init() {
	register(command{
		name:    "fake-backend",
		summary: "Run a stand-in for a backend server",
		usage: "Runs a backend server that sleeps and echoes. POST /admin/faults with a JSON object of " +
			"slow_factor, fail_rate, hang_rate, close_rate, fast_fail makes it misbehave; " +
			"GET /admin/journal lists every start.",
		flags: &fakeBackendCommand{},
	})
}

// fakeBackendCommand runs a stand-in for a backend server.
type fakeBackendCommand struct {
	Listen   string        `long:"listen" default:"127.0.0.1:9000" value-name:"ADDR" description:"IP number and port"`
	TaskTime time.Duration `long:"task-time" default:"50ms" description:"time of a task whose payload names none"`
	Tail     float64       `long:"tail" default:"0" description:"share of such tasks that take ten times as long"`
	Seed     uint64        `long:"seed" default:"1" description:"of the random choices"`
}

// Execute runs the stand-in until a stop signal.
func (c *fakeBackendCommand) Execute([]string) error {
	b, err := fakebackend.New(fakebackend.Settings{Listen: c.Listen, TaskTime: c.TaskTime, Tail: c.Tail}, c.Seed)
	if err != nil {
		return err
	}
	defer b.Close()
	fmt.Println("stand-in backend server at", b.URL())
	ctx, cancel := signalContext()
	defer cancel()
	<-ctx.Done()
	return nil
}
