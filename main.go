// Lichenfall is a dispatcher for sub-second tasks. Its daemons, stand-ins and tools are
// commands of this one program. Package commands owns the command line.
package main

import (
	"os"

	"github.com/lichenfall/lichenfall/commands"
)

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}
