package commands

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/metrics"
	"github.com/lichenfall/lichenfall/submissions/fakebackend"
	"github.com/lichenfall/lichenfall/submissions/load"
	"github.com/lichenfall/lichenfall/submissions/local"
	"github.com/lichenfall/lichenfall/wire"
)

func init() {
	register(command{
		name:    "load",
		summary: "Submit jobs at a given rate and report",
		usage: "An open-loop load generator. Jobs arrive at their times whether or not earlier ones are answered; every " +
			"answer is checked. Without --entry it starts a local system of its own and also reports messages for each task. " +
			"Distributions: const:A, uniform:A-B, exp:MEAN, lognormal:MEDIAN-SIGMA, pareto:LEAST-SHAPE, mix:A-SHARE-B.",
		flags: &loadCommand{},
	})
}

// loadCommand submits jobs at a given rate.
type loadCommand struct {
	Entry      []string      `long:"entry" value-name:"URL" description:"entry to submit to; may be given several times"`
	Scrape     []string      `long:"scrape" value-name:"URL" description:"process whose message counters to read; may be given several times"`
	Workspace  string        `long:"team" default:"tabua" description:"team"`
	Pool       string        `long:"pool" default:"default" description:"pool of backend servers"`
	Rate       float64       `long:"rate" default:"20" description:"jobs a second"`
	Even       bool          `long:"even" description:"equal gaps between jobs in place of Poisson arrivals"`
	Burst      float64       `long:"burst" description:"factor of the rate in bursts"`
	BurstEvery time.Duration `long:"burst-every" default:"10s" description:"from one burst to the next"`
	BurstFor   time.Duration `long:"burst-for" default:"2s" description:"length of a burst"`
	FanOut     string        `long:"fan-out" default:"uniform:1-39" value-name:"DIST" description:"tasks of a job"`
	TaskTime   string        `long:"task-time" default:"const:50" value-name:"DIST" description:"milliseconds of a task"`
	Duration   time.Duration `long:"duration" short:"d" default:"10s" description:"how long jobs arrive"`
	Timeout    time.Duration `long:"timeout" default:"10s" description:"until a job's deadline"`
	Resend     float64       `long:"resend" description:"share of jobs sent a second time through another entry"`
	Seed       uint64        `long:"seed" default:"1" description:"of the random choices"`
	Repeats    int           `long:"repeats" default:"1" description:"runs of the plan, each with the next seed; more than one gives medians and ranges"`
	JSON       bool          `long:"json" description:"report as JSON"`
	Quiet      bool          `long:"quiet" short:"q" description:"no progress on standard error"`
	Agents     int           `long:"agents" default:"11" description:"of the local system"`
	Entries    int           `long:"entries" default:"2" description:"of the local system"`
	Choices    int           `long:"choices" default:"0" description:"placement.choices of the local system"`
	Bounces    int           `long:"bounces" default:"2" description:"placement.bounces of the local system"`
	Order      string        `long:"order" default:"fair" choice:"fair" choice:"arrival" description:"backend.order of the local system"`
	Hold       time.Duration `long:"hold" default:"10ms" description:"backend.hold of the local system"`
	Slack      int           `long:"slack" default:"0" description:"placement.slack of the local system"`
}

// maxFanOut bounds the tasks of a job; it is the largest number that the users send.
const maxFanOut = 150

// Execute runs the plan, as often as requested, and prints a report.
func (c *loadCommand) Execute([]string) error {
	plan, err := c.plan()
	if err != nil {
		return usageError(err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	if len(c.Entry) == 0 {
		cluster, err := c.startLocal(ctx)
		if err != nil {
			return err
		}
		defer cluster.Close()
		plan.Entries = cluster.URLs()
		c.Scrape = cluster.ScrapeURLs()
	}
	var runs []load.Summary
	for i := range c.Repeats {
		plan.Seed = c.Seed + uint64(i)
		runs = append(runs, c.runPlan(ctx, plan))
	}
	return c.print(runs)
}

// runPlan runs the plan once. The summary includes the messages sent meanwhile, by kind and as a
// mean for each task.
func (c *loadCommand) runPlan(ctx context.Context, plan load.Plan) load.Summary {
	before := c.sentMessages(ctx)
	s := load.Run(ctx, plan, c.progress()).Summary()
	if !c.Quiet {
		fmt.Fprintln(os.Stderr)
	}
	s.Messages = make(map[string]float64)
	for k, n := range c.sentMessages(ctx) {
		s.Messages[k] = (n - before[k]) / float64(max(1, s.Tasks))
		if wire.Wasted(k) {
			s.WastedMessages += s.Messages[k]
		}
	}
	return s
}

// plan turns the options into a plan.
func (c *loadCommand) plan() (load.Plan, error) {
	fanOut, taskTime, err := distributions(c.FanOut, c.TaskTime)
	if err != nil {
		return load.Plan{}, err
	}
	if c.Repeats < 1 {
		return load.Plan{}, fmt.Errorf("--repeats: must be at least 1")
	}
	if c.Rate <= 0 {
		return load.Plan{}, fmt.Errorf("--rate: must be above 0")
	}
	return load.Plan{
		Entries:   c.Entry,
		Workspace: c.Workspace,
		Pool:      c.Pool,
		Arrivals:  load.Arrivals{Rate: c.Rate, Even: c.Even, Factor: c.Burst, Every: c.BurstEvery, Length: c.BurstFor},
		FanOut:    fanOut,
		TaskTime:  taskTime,
		Duration:  c.Duration,
		Timeout:   c.Timeout,
		Resend:    c.Resend,
		Seed:      c.Seed,
		MaxFanOut: maxFanOut,
	}, nil
}

// distributions parses the distributions of a job's number of tasks and of their time.
func distributions(fanOut, taskTime string) (f, t load.Distribution, err error) {
	if f, err = load.ParseDistribution(fanOut); err != nil {
		return f, t, fmt.Errorf("--fan-out: %w", err)
	}
	if t, err = load.ParseDistribution(taskTime); err != nil {
		return f, t, fmt.Errorf("--task-time: %w", err)
	}
	return f, t, nil
}

// startLocal starts a local system with the settings that the options give.
func (c *loadCommand) startLocal(ctx context.Context) (*local.Cluster, error) {
	return local.Start(ctx, local.Options{
		Entries: c.Entries,
		Agents:  c.Agents,
		Backend: fakebackend.Settings{},
		Log:     logging.Discard(),
		Seed:    c.Seed,
		Entry: func(cfg *config.Entry) {
			cfg.Placement.Choices = c.Choices
			cfg.Placement.Bounces = c.Bounces
			cfg.Placement.Slack = c.Slack
		},
		Agent: func(cfg *config.Agent) {
			cfg.Backend.Hold = config.Duration(c.Hold)
			cfg.Backend.Order = c.Order
		},
	})
}

// progress returns a function that prints the progress on standard error, or nil with --quiet.
func (c *loadCommand) progress() func(*load.Report) {
	if c.Quiet {
		return nil
	}
	return func(r *load.Report) {
		s := r.Summary()
		fmt.Fprintf(os.Stderr, "\r%d jobs answered, %d complete, p99 %.1f ms   ", s.Jobs, s.Complete, s.LatencyMS.P99)
	}
}

// counterDelay is the wait before counters are scraped, since their values lag behind by up to
// this long.
const counterDelay = 1500 * time.Millisecond

// sentMessages returns how many messages of each kind all scraped processes have sent in total. It
// leaves out processes that don't answer, with a message on standard error.
func (c *loadCommand) sentMessages(ctx context.Context) map[string]float64 {
	total := make(map[string]float64)
	if len(c.Scrape) == 0 {
		return total
	}
	time.Sleep(counterDelay)
	for _, u := range c.Scrape {
		counts, err := metrics.MessagesSent(ctx, u)
		if err != nil {
			fmt.Fprintf(os.Stderr, "lichenfall: %s: %v\n", u, err)
			continue
		}
		for k, n := range counts {
			total[k] += n
		}
	}
	return total
}

// print prints the summary of one run, or the spread of several.
func (c *loadCommand) print(runs []load.Summary) error {
	switch {
	case c.JSON && len(runs) == 1:
		return runs[0].WriteJSON(os.Stdout)
	case c.JSON:
		return printJSON(runs)
	case len(runs) > 1:
		load.WriteSpreads(os.Stdout, runs)
		return nil
	}
	runs[0].WriteText(os.Stdout)
	return nil
}
