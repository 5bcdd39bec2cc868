package commands

import (
	"fmt"
	"runtime"
)

// version is set at link time; see the Makefile.
var version = "unversioned"

func init() {
	register(command{
		name:    "version",
		summary: "Print the version",
		usage:   "Prints the version of the program and of Go.",
		flags:   &versionCommand{},
	})
}

// versionCommand prints the version.
type versionCommand struct{}

// Execute prints the versions of the program and of Go.
func (c *versionCommand) Execute([]string) error {
	fmt.Println("lichenfall", version, runtime.Version())
	return nil
}
