package commands

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/fakebackend"
	"github.com/lichenfall/lichenfall/load"
	"github.com/lichenfall/lichenfall/local"
	"github.com/lichenfall/lichenfall/logging"
)

func init() {
	register(command{
		name:    "compare",
		summary: "Run settings against each other on the same arrivals",
		usage: "Runs a local system with each variant of settings in turn, again and again, each round with the arrivals of another seed, " +
			"and prints medians with ranges as a Markdown table, with the bound of a central queue on the same arrivals. " +
			"A variant is NAME:FIELD=VALUE,... of choices, bounces, slack, hold, order, entries, worse, wait.",
		flags: &compareCommand{},
	})
}

type compareCommand struct {
	Variant  []string      `long:"variant" required:"true" value-name:"NAME:FIELD=VALUE,..." description:"settings to try; given once for each"`
	Rounds   int           `long:"rounds" default:"5" description:"runs of each variant"`
	Load     float64       `long:"load" default:"0.7" description:"share of all slots that the tasks need"`
	FanOut   string        `long:"fan-out" default:"const:20" value-name:"DIST" description:"tasks of a job"`
	TaskTime string        `long:"task-time" default:"const:50" value-name:"DIST" description:"milliseconds of a task"`
	MeanTask float64       `long:"mean-task" default:"50" description:"mean of --task-time, for the rate"`
	MeanFan  float64       `long:"mean-fan-out" default:"20" description:"mean of --fan-out, for the rate"`
	Agents   int           `long:"agents" default:"11" description:"agents of 8 slots"`
	Entries  int           `long:"entries" default:"2" description:"entries, where the variant names none"`
	Duration time.Duration `long:"duration" short:"d" default:"6s" description:"how long jobs arrive in each run"`
	Slow     float64       `long:"slow" description:"factor by which the first backend server is slower"`
	Failing  bool          `long:"failing" description:"the first backend server fails every task at once"`
	Burst    float64       `long:"burst" description:"factor of the rate in bursts of 2 s every 10 s"`
}

const slotsEach = 8

// variant is a named set of settings.
type variant struct {
	name    string
	entries int
	entry   config.Placement
	backend config.Backend
	wait    config.Duration // jobs.max_wait
}

// Execute runs the command.
func (c *compareCommand) Execute([]string) error {
	variants, err := c.variants()
	if err != nil {
		return usageError(err)
	}
	plan, err := c.plan()
	if err != nil {
		return usageError(err)
	}
	run, cancel := untilSignal()
	defer cancel()
	results := make([]load.Variant, len(variants))
	var bounds []load.Quantiles
	for round := range c.Rounds {
		plan.Seed = uint64(round) + 1
		bounds = append(bounds, load.CentralQueue(load.Trace(plan), c.Agents*slotsEach))
		for i, v := range variants {
			fmt.Fprintf(os.Stderr, "round %d of %d: %s\n", round+1, c.Rounds, v.name)
			s, err := c.once(run, v, plan)
			if err != nil {
				return err
			}
			results[i].Name = v.name
			results[i].Runs = append(results[i].Runs, s)
		}
	}
	c.describe()
	load.WriteComparison(os.Stdout, bounds, results)
	return nil
}

func (c *compareCommand) plan() (load.Plan, error) {
	fanOut, taskTime, err := distributions(c.FanOut, c.TaskTime)
	if err != nil {
		return load.Plan{}, err
	}
	rate := c.Load * float64(c.Agents*slotsEach) / (c.MeanFan * c.MeanTask / 1000)
	arrivals := load.Arrivals{Rate: rate, Factor: c.Burst, Every: 10 * time.Second, Length: 2 * time.Second}
	return load.Plan{
		Team: local.Team, Pool: local.Pool, Arrivals: arrivals, FanOut: fanOut, TaskTime: taskTime,
		Duration: c.Duration, Timeout: 20 * time.Second, MaxFanOut: maxFanOut,
	}, nil
}

func (c *compareCommand) variants() ([]variant, error) {
	var out []variant
	for _, text := range c.Variant {
		v, err := c.parse(text)
		if err != nil {
			return nil, fmt.Errorf("--variant %q: %w", text, err)
		}
		out = append(out, v)
	}
	return out, nil
}

func (c *compareCommand) parse(text string) (variant, error) {
	name, fields, _ := strings.Cut(text, ":")
	v := variant{name: name, entries: c.Entries, entry: config.DefaultPlacement(), backend: config.DefaultBackend(), wait: config.DefaultJobs().MaxWait}
	if fields == "" {
		return v, nil
	}
	for _, f := range strings.Split(fields, ",") {
		field, value, _ := strings.Cut(f, "=")
		if err := v.set(field, value); err != nil {
			return v, err
		}
	}
	return v, nil
}

func (v *variant) set(field, value string) error {
	if field == "wait" {
		d, err := time.ParseDuration(value)
		v.wait = config.Duration(d)
		return err
	}
	numbers := map[string]*int{"choices": &v.entry.Choices, "bounces": &v.entry.Bounces, "slack": &v.entry.Slack, "entries": &v.entries}
	if n, ok := numbers[field]; ok {
		parsed, err := strconv.Atoi(value)
		*n = parsed
		return err
	}
	switch field {
	case "worse":
		f, err := strconv.ParseFloat(value, 64)
		v.entry.Worse = f
		return err
	case "hold":
		d, err := time.ParseDuration(value)
		v.backend.Hold = config.Duration(d)
		return err
	case "order":
		v.backend.Order = value
		return nil
	}
	return fmt.Errorf("no field %q (allowed: choices, bounces, slack, hold, order, entries, worse, wait)", field)
}

func (c *compareCommand) once(ctx context.Context, v variant, plan load.Plan) (load.Summary, error) {
	cluster, err := local.Start(ctx, local.Options{
		Entries: v.entries,
		Agents:  c.Agents,
		Log:     logging.Discard(),
		Entry: func(cfg *config.Entry) {
			cfg.Placement = v.entry
			cfg.Jobs.MaxWait = v.wait
		},
		Agent: func(cfg *config.Agent) {
			cfg.Backend.Hold = v.backend.Hold
			cfg.Backend.Order = v.backend.Order
		},
	})
	if err != nil {
		return load.Summary{}, err
	}
	defer cluster.Close()
	cluster.Backends[0].SetFaults(fakebackend.Faults{SlowFactor: c.Slow, FastFail: c.Failing})
	plan.Entries = cluster.URLs()
	l := loadCommand{Quiet: true, Scrape: cluster.ScrapeURLs()}
	return l.once(ctx, plan), nil
}

// describe prints what all variants have in common.
func (c *compareCommand) describe() {
	fmt.Printf("%d rounds, %d agents of %d slots, load %.0f %%, fan-out %s, task time %s ms",
		c.Rounds, c.Agents, slotsEach, 100*c.Load, c.FanOut, c.TaskTime)
	if c.Slow > 0 {
		fmt.Printf(", one backend server %gx slower", c.Slow)
	}
	if c.Failing {
		fmt.Print(", one backend server fails at once")
	}
	if c.Burst > 0 {
		fmt.Printf(", bursts of %gx", c.Burst)
	}
	fmt.Print("\n\n")
}
