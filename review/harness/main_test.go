//go:build review

// Package harness plays the cases of the review that are scripts. It starts the project's own
// programs as separate processes, with stand-ins of the platform, of executors and of clients in
// this process. It is built as a program by review/build.sh.
package harness

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases holds the cases by the name of their folder. Each returns the breaches of its rule, or an
// error if it could not run.
var cases = map[string]func(s *system, trouble bool) ([]string, error){}

func TestMain(*testing.M) {
	root := flag.String("root", ".", "root of the repository")
	name := flag.String("case", "", "name of the case's folder")
	flag.Parse()
	os.Exit(play(*root, *name, os.Getenv("TROUBLE") != "0"))
}

// play runs a case and writes its record.
func play(root, name string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitCannotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(filepath.Join(root, "review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	rec.add("case %s, trouble %v, %s", name, trouble, time.Now().UTC().Format(time.RFC3339))
	s, err := newSystem(root, dir, rec)
	if err != nil {
		return cannotRun(rec, err)
	}
	defer s.close()
	breaches, err := run(s, trouble)
	if s.logs() {
		rec.add("what the processes wrote is in %s", dir)
	}
	if err != nil {
		return cannotRun(rec, err)
	}
	if ended := s.unexpectedEnds(); len(ended) > 0 {
		rec.add("note: %v", ended)
	}
	for _, b := range breaches {
		rec.add("BROKEN: %s", b)
	}
	if len(breaches) > 0 {
		fmt.Printf("broken: %d times; the first: %s\n", len(breaches), breaches[0])
		return exitBroken
	}
	rec.add("HELD")
	fmt.Println("held")
	return exitHeld
}

func cannotRun(rec *record, err error) int {
	rec.add("could not run: %v", err)
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return exitCannotRun
}
