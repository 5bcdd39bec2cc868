// Package commands holds the commands of the lichenfall program, a file each.
// Each registers itself with its usage text. It owns the process: signals, exit codes
// and what is started in which order.
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

// The exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the system answered, with a failure
	ExitUsage    = 2 // the command line or a settings file is wrong
	ExitNoAnswer = 3 // the system could not be reached or gave no answer
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func usageError(err error) error { return &exitError{ExitUsage, err} }

func noAnswerError(err error) error { return &exitError{ExitNoAnswer, err} }

// command is what a file of this package registers.
type command struct {
	parent  string // name of the command that it belongs under; may be empty
	name    string
	summary string
	usage   string
	flags   any // a pointer to the struct of its flags, mostly a flags.Commander
}

var registered []command

func register(c command) { registered = append(registered, c) }

// Run runs the command line and returns the exit code.
func Run(args []string) int {
	p, err := parser()
	if err != nil {
		fmt.Fprintln(os.Stderr, "lichenfall:", err)
		return ExitUsage
	}
	_, err = p.ParseArgs(args)
	return exitCode(err)
}

// parser builds the command line from what is registered.
func parser() (*flags.Parser, error) {
	p := flags.NewNamedParser("lichenfall", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "A dispatcher for sub-second tasks."
	sort.Slice(registered, func(i, k int) bool { return registered[i].name < registered[k].name })
	for _, nested := range []bool{false, true} {
		for _, c := range registered {
			if (c.parent != "") != nested {
				continue
			}
			if err := add(p, c); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

func add(p *flags.Parser, c command) error {
	under := p.Command
	if c.parent != "" {
		under = p.Find(c.parent)
	}
	_, err := under.AddCommand(c.name, c.summary, c.usage, c.flags)
	return err
}

func exitCode(err error) int {
	var coded *exitError
	var wrong *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Println(wrong.Message)
		return ExitOK
	case errors.As(err, &coded):
		fmt.Fprintln(os.Stderr, "lichenfall:", err)
		return coded.code
	case errors.As(err, &wrong):
		fmt.Fprintln(os.Stderr, "lichenfall:", err)
		return ExitUsage
	}
	fmt.Fprintln(os.Stderr, "lichenfall:", err)
	return ExitFailed
}

// untilSignal returns a context that ends with the first SIGINT or SIGTERM. A
// second one ends the process at once.
func untilSignal() (context.Context, context.CancelFunc) {
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
