package commands

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/lichenfall/lichenfall/submissions/client"
	"github.com/lichenfall/lichenfall/submissions/entry"
)

func init() {
	register(command{
		name:    "status",
		summary: "Show a submission's state, or an entry's",
		usage: "With a submission ID, asks any entry for its state and prints the answer as JSON. " +
			"Without, prints what the entry knows of itself and of its agents.",
		flags: &statusCommand{},
	})
}

type statusCommand struct {
	Entry string `long:"entry" default:"http://127.0.0.1:7070" value-name:"URL" description:"which entry to ask"`
	JSON  bool   `long:"json" description:"print the entry's state as JSON"`
	Args  struct {
		ID string `positional-arg-name:"ID" description:"submission ID"`
	} `positional-args:"yes"`
}

// statusTimeout is for one question. Chosen, not measured.
const statusTimeout = 5 * time.Second

// Execute runs the command.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
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
