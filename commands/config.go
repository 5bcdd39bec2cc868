package commands

import (
	"fmt"

	"github.com/lichenfall/lichenfall/config"
)

func init() {
	register(command{
		name:    "config",
		summary: "Work with settings files",
		usage:   "Commands on settings files.",
		flags:   &configCommand{},
	})
	register(command{
		parent:  "config",
		name:    "check",
		summary: "Check a settings file",
		usage:   "Reads a settings file as the daemon would and prints every problem with its line, field and what is allowed. Exit code 2 when there is any.",
		flags:   &configCheckCommand{},
	})
	register(command{
		parent:  "config",
		name:    "example",
		summary: "Print the default settings of a role",
		usage:   "Prints every field with its default. claims.holders, jobs.teams, jobs.pools, backend.url, backend.address, backend.listen and store.address have none and must be set.",
		flags:   &configExampleCommand{},
	})
}

// configCommand groups its subcommands.
type configCommand struct{}

// configExampleCommand prints the default settings of a role.
type configExampleCommand struct {
	Role string `long:"role" required:"true" choice:"entry" choice:"agent" choice:"coordinator" choice:"worker" description:"whose settings to print"`
}

// Execute prints the default settings of the role as JSON.
func (c *configExampleCommand) Execute([]string) error {
	for _, r := range config.Roles() {
		if r.Name == c.Role {
			return printJSON(r.Defaults())
		}
	}
	return fmt.Errorf("no role %q", c.Role)
}

// configCheckCommand checks settings files.
type configCheckCommand struct {
	Role string `long:"role" required:"true" choice:"entry" choice:"agent" choice:"coordinator" choice:"worker" description:"whose settings they are"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute checks all files and returns an error for the last invalid one.
func (c *configCheckCommand) Execute([]string) error {
	var failed error
	for _, file := range c.Args.Files {
		if err := c.check(file); err != nil {
			fmt.Println(err)
			failed = usageError(fmt.Errorf("%s: not usable", file))
			continue
		}
		fmt.Printf("%s: good\n", file)
	}
	return failed
}

func (c *configCheckCommand) check(file string) error {
	for _, r := range config.Roles() {
		if r.Name == c.Role {
			return config.Load(file, r.Defaults())
		}
	}
	return fmt.Errorf("no role %q", c.Role)
}
