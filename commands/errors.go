package commands

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/lichenfall/lichenfall/lib/failure"
)

func init() {
	register(command{
		name:    "errors",
		summary: "Print the table of error kinds",
		usage:   "Prints every kind of error with its HTTP status, whether the work ran, and what the caller may do.",
		flags:   &errorsCommand{},
	})
}

// errorsCommand prints the table of error kinds.
type errorsCommand struct{}

// Execute prints the table.
func (c *errorsCommand) Execute([]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tSTATUS\tRAN\tRETRY\tMEANING")
	for _, r := range failure.Table() {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", r.Name, r.Status, r.Ran, r.Retry, r.Meaning)
	}
	return w.Flush()
}
