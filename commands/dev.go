package commands

import (
	"context"
	"fmt"
	"time"

	joblocal "github.com/lichenfall/lichenfall/jobs/local"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/submissions/fakebackend"
	"github.com/lichenfall/lichenfall/submissions/local"
)

func init() {
	register(command{
		name:    "dev",
		summary: "Run everything in one process on loopback, with stand-ins",
		usage: "Runs entries, agents, stand-in backend servers and a stand-in platform in this process, " +
			"and prints how to submit a first job.",
		flags: &devCommand{},
	})
}

// devCommand runs a whole system in one process.
type devCommand struct {
	Listen  string `long:"listen" default:"127.0.0.1:7070" value-name:"ADDR" description:"of the first entry"`
	Entries int    `long:"entries" default:"2" description:"number of entries"`
	Agents  int    `long:"agents" default:"11" description:"number of agents, each with a backend server of 8 slots"`
	Jobs    string `long:"jobs-listen" default:"127.0.0.1:7270" value-name:"ADDR" description:"of the first coordinator"`
	Level   string `long:"log-level" default:"warn" description:"debug, info, warn or error"`
}

const (
	devTaskTime  = 50 * time.Millisecond // of a task whose payload names none; the shortest that the users have
	devStopLimit = time.Minute           // for jobs in flight after a stop signal
)

// Execute runs the system until a stop signal.
func (c *devCommand) Execute([]string) error {
	if c.Entries < 1 || c.Agents < 1 {
		return usageError(fmt.Errorf("--entries and --agents must be at least 1"))
	}
	log, err := logging.New(c.Level, "text")
	if err != nil {
		return usageError(err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	cluster, err := c.startEntries(ctx, log)
	if err != nil {
		return err
	}
	jobs, err := c.startCoordinators(log)
	if err != nil {
		return err
	}
	defer jobs.Close()
	c.printEntries(cluster)
	c.printCoordinators(jobs)
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), devStopLimit)
	defer cancel()
	cluster.Stop(stopCtx)
	return nil
}

func (c *devCommand) startEntries(ctx context.Context, log *logging.Log) (*local.Cluster, error) {
	return local.Start(ctx, local.Options{
		Entries: c.Entries,
		Agents:  c.Agents,
		HTTP:    c.Listen,
		Backend: fakebackend.Settings{TaskTime: devTaskTime},
		Log:     log,
	})
}

func (c *devCommand) startCoordinators(log *logging.Log) (*joblocal.Cluster, error) {
	return joblocal.Start(joblocal.Options{
		Coordinators: c.Entries,
		Workers:      c.Agents,
		HTTP:         c.Jobs,
		TaskTime:     devTaskTime,
		Log:          log,
	})
}

func (c *devCommand) printEntries(cluster *local.Cluster) {
	urls := cluster.URLs()
	fmt.Printf("lichenfall is up: %d entries, %d agents, a stand-in box list at %s\n", c.Entries, c.Agents, cluster.BoxList.URL())
	for _, u := range urls {
		fmt.Println("  entry", u)
	}
	fmt.Printf(`
A first job, from another terminal:

  go run . submit --entry %[1]s --tasks 20 --payload '{"sleep_ms":50}'

or over HTTP:

  curl -s %[1]s/v1/submissions -d '{"id":"hello@'$(date +%%s%%3N)'","team":"%[2]s","pool":"%[3]s","tasks":[{"payload":{"echo":"bula"}}]}'

Stop with ctrl-C.
`, urls[0], local.Workspace, local.Pool)
}

func (c *devCommand) printCoordinators(jobs *joblocal.Cluster) {
	fmt.Printf(`
Beside them %d coordinators and %d workers, on a stand-in store:

  curl -s %[3]s/v1/jobs -d '{"id":"5c0e7a21d94b36f8","queue":"%[4]s","spec":"x","steps":[{"count":20,"milli_cpu":500,"estimate_ms":50}]}'
  curl -s %[3]s/v1/jobs/5c0e7a21d94b36f8
`, c.Entries, c.Agents, jobs.URLs[0], joblocal.Queue)
}
