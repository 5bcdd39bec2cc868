// Package commands implements the commands of the lichenfall program, a file each, which
// registers the command with its help texts. The package owns the process: its signals, its
// exit codes, and the order in which it starts and stops its parts. It relies on go-flags to
// parse the command line.
package commands

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the system answered, with a failure
	ExitUsage    = 2 // the command line or a settings file is wrong
	ExitNoAnswer = 3 // the system could not be reached or gave no answer
)

// exitError is an error that sets the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func usageError(err error) error { return &exitError{ExitUsage, err} }

func noAnswerError(err error) error { return &exitError{ExitNoAnswer, err} }

// command describes a command of the program.
type command struct {
	parent  string // name of the command that it is a subcommand of; empty for none
	name    string
	summary string // one line
	usage   string // a paragraph
	flags   any    // pointer to the struct of its options, which also implements flags.Commander unless it has subcommands
}

var registered []command

// register adds a command to the command line. It is called in init functions.
func register(c command) { registered = append(registered, c) }

// Run parses the arguments, without the program's name, runs the command that they name, and
// returns the exit code. It prints errors on standard error.
func Run(args []string) int {
	p, err := parser()
	if err != nil {
		fmt.Fprintln(os.Stderr, "lichenfall:", err)
		return ExitUsage
	}
	_, err = p.ParseArgs(args)
	return exitCode(err)
}

// parser builds the parser of the command line from the registered commands, in the order of
// their names. Subcommands are added last, once their parents are there.
func parser() (*flags.Parser, error) {
	p := flags.NewNamedParser("lichenfall", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "A dispatcher for sub-second tasks."
	sort.Slice(registered, func(i, k int) bool { return registered[i].name < registered[k].name })
	for _, nested := range []bool{false, true} {
		for _, c := range registered {
			if (c.parent != "") != nested {
				continue
			}
			if err := addCommand(p, c); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

func addCommand(p *flags.Parser, c command) error {
	parent := p.Command
	if c.parent != "" {
		parent = p.Find(c.parent)
	}
	_, err := parent.AddCommand(c.name, c.summary, c.usage, c.flags)
	return err
}

// exitCode prints the error, if any, and returns the exit code for it.
func exitCode(err error) int {
	var exitErr *exitError
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
		return ExitOK
	case errors.As(err, &exitErr):
		fmt.Fprintln(os.Stderr, "lichenfall:", err)
		return exitErr.code
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, "lichenfall:", err)
		return ExitUsage
	}
	fmt.Fprintln(os.Stderr, "lichenfall:", err)
	return ExitFailed
}

// signalContext returns a context that is cancelled by the first SIGINT or SIGTERM. A
// second one ends the process at once, with ExitFailed.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(ExitFailed)
	}()
	return ctx, cancel
}
