//go:build review

// Package harness2 is a program that plays the cases of the second review: it starts the project's own
// programs as processes, with stand-ins of the store, the executors and the clients, and judges what
// these have seen. It owns the processes and the folder of their files, and relies on being started at
// the root of the repository after the build of the deploy file.
package harness2

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is returned by a case whose conditions did not come about.
var errNotRun = errors.New("the case could not run")

// scenario plays a case and returns what breaks the rule.
type scenario func(s *system, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"frame":   playFrame,
	"blocked": playBlocked,
	"cancel":  playCancel,
	"crashes": playCrashes,
	"transit": playTransit,
	"stray":   playStray,
	"pending": playPending,
	"revoked": playRevoked,
	"subset":  playSubset,
}

// TestMain plays the case that the first argument names. The second is the file of the record.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "arguments: CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(run scenario, file string) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSystem(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("trouble: %v", trouble)
	broken, err := run(s, trouble)
	s.recordRuns()
	if ended := s.close(); len(ended) > 0 {
		rec.add("ended by themselves: %v", ended)
	}
	for _, line := range broken {
		rec.add("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}

// maxRecorded is the number of runs that are recorded one by one.
const maxRecorded = 400

// recordRuns records what ran.
func (s *system) recordRuns() {
	runs := s.runs()
	slices.SortFunc(runs, func(a, b run) int { return a.began.Compare(b.began) })
	s.rec.add("%d runs", len(runs))
	for i, r := range runs {
		if i == maxRecorded {
			s.rec.add("(%d more runs)", len(runs)-maxRecorded)
			return
		}
		ended := "runs"
		if !r.ended.IsZero() {
			ended = fmt.Sprintf("%s at %.3f", r.how, r.ended.Sub(s.rec.began).Seconds())
		}
		s.rec.addAt(r.began, "run %s %d at %s: %s", r.task, r.number, r.executor, ended)
	}
}
