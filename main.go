// Lichenfall is a dispatcher for sub-second tasks. This program holds its
// daemons, its stand-ins and its tools, a command each. Package commands owns the
// command line; nothing else stands here.
package main

import (
	"os"

	"github.com/lichenfall/lichenfall/commands"
)

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}
