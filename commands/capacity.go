package commands

import (
	"fmt"
	"os"

	"github.com/lichenfall/lichenfall/capacity"
)

func init() {
	register(command{
		name:    "capacity",
		summary: "Measure what each role costs, and work out the size that we are built for",
		usage: "Measures slopes on this machine in about three minutes and rewrites the tables of the page. " +
			"Nothing else should run meanwhile.",
		flags: &capacityCommand{},
	})
}

type capacityCommand struct {
	Page string `long:"page" default:"docs/CAPACITY.md" value-name:"FILE" description:"page whose tables are rewritten"`
}

// Execute runs the command.
func (c *capacityCommand) Execute([]string) error {
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return usageError(err)
	}
	run, cancel := untilSignal()
	defer cancel()
	size := capacity.LetterOne()
	results, err := capacity.Measure(run, size, func(what string) { fmt.Fprintln(os.Stderr, "measuring:", what) })
	if err != nil {
		return err
	}
	page, err = capacity.Rewrite(page, size, results)
	if err != nil {
		return usageError(err)
	}
	return os.WriteFile(c.Page, page, fileMode)
}
