package commands

import (
	"fmt"
	"runtime"
)

// version is set by the linker; see the Makefile.
var version = "unversioned"

func init() {
	register(command{
		name:    "version",
		summary: "Print the version",
		usage:   "Prints the version of the program and of Go.",
		flags:   &versionCommand{},
	})
}

type versionCommand struct{}

// Execute runs the command.
func (c *versionCommand) Execute([]string) error {
	fmt.Println("lichenfall", version, runtime.Version())
	return nil
}
