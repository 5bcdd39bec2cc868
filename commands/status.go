package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/lichenfall/lichenfall/jobs/coordinator"
	"github.com/lichenfall/lichenfall/submissions/client"
	"github.com/lichenfall/lichenfall/submissions/entry"
)

func init() {
	register(command{
		name:    "status",
		summary: "Show a submission's state, an entry's, or a coordinator's",
		usage: "With a submission ID, asks any entry for its state and prints the answer as JSON. " +
			"Without, prints what the entry knows of itself and of its agents. With --coordinator, prints what a coordinator " +
			"believes of its workers, of the queues and of evacuated data centres.",
		flags: &statusCommand{},
	})
}

// statusCommand prints the state of a submission, an entry or a coordinator.
type statusCommand struct {
	Coordinator string `long:"coordinator" value-name:"URL" description:"show a coordinator of jobs instead, at its admin address"`
	Entry       string `long:"entry" default:"http://127.0.0.1:7070" value-name:"URL" description:"which entry to ask"`
	JSON        bool   `long:"json" description:"print the state as JSON"`
	Args        struct {
		ID string `positional-arg-name:"ID" description:"submission ID"`
	} `positional-args:"yes"`
}

// statusTimeout bounds the one request that the command makes.
const statusTimeout = 5 * time.Second

// Execute requests the state and prints it.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	if c.Coordinator != "" {
		return c.showCoordinator(ctx)
	}
	cl := client.New(c.Entry)
	defer cl.Close()
	if c.Args.ID != "" {
		a, err := cl.Lookup(ctx, c.Args.ID)
		if err != nil {
			return noAnswerError(err)
		}
		return printAnswer(a)
	}
	var s entry.State
	if err := cl.Get(ctx, "/v1/state", &s); err != nil {
		return noAnswerError(err)
	}
	if c.JSON {
		return printJSON(s)
	}
	printState(s)
	return nil
}

func printState(s entry.State) {
	fmt.Printf("entry %s in %s: ready %t, stopping %t, %d jobs with %d tasks, box list %d\n\n",
		s.Box, s.DataCentre, s.Ready, s.Stopping, s.Jobs, s.Tasks, s.BoxList)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "AGENT\tPOOL\tDATA CENTRE\tCONNECTED\tLEAVING\tSLOTS\tOUTSTANDING")
	for _, a := range s.Agents {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%d\t%d\n", a.Address, a.Pool, a.DataCentre, a.Connected, a.Leaving, a.Slots, a.Outstanding)
	}
}

// showCoordinator requests the overview of a coordinator and prints it.
func (c *statusCommand) showCoordinator(ctx context.Context) error {
	cl := client.New(c.Coordinator)
	defer cl.Close()
	var o coordinator.Overview
	if err := cl.Get(ctx, "/v1/state", &o); err != nil {
		return noAnswerError(err)
	}
	if c.JSON {
		return printJSON(o)
	}
	printOverview(os.Stdout, &o)
	return nil
}

func printOverview(out io.Writer, o *coordinator.Overview) {
	fmt.Fprintf(out, "coordinator %s in %s: ready %t, stopping %t, %d partitions\n\n", o.Box, o.DataCentre, o.Ready, o.Stopping, o.Partitions)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, e := range o.Evacuations {
		fmt.Fprintf(w, "EVACUATED %s\tsince %s\t%d runs of ours left there\n", e.DataCentre, e.Since.UTC().Format(time.RFC3339), e.Runs)
	}
	fmt.Fprintln(w, "QUEUE\tWAITING\tREFUSED IN 10 S")
	for _, q := range o.Queues {
		fmt.Fprintf(w, "%s\t%d\t%d\n", q.Queue, q.Waiting, q.Refused)
	}
	fmt.Fprintln(w, "\nWORKER\tDATA CENTRE\tCONNECTED\tREADY\tEVACUATED\tEJECTED\tASKED\tTIME FACTOR\tSLOWNESS\tFREE OF MILLI-CORES\tRUNS")
	for _, k := range o.Workers {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%t\t%t\t%t\t%s\t%s\t%d of %d\t%d\n", k.Address, k.DataCentre, k.Connected, k.Ready, k.Evacuated, k.Ejected, k.Asked,
			percent(k.TimeFactor), percent(k.Slowness), k.Free, k.Capacity, k.Runs)
	}
}

// percent formats a percentage, of which 0 means unknown.
func percent(x uint32) string {
	if x == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", x)
}
