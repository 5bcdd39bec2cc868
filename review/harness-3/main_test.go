//go:build review

// Package harness3 plays the cases of the third review: it starts the coordinators and workers of this
// project as processes, with stand-ins of the platform's store, of executors and of clients, which
// behave as the users' pages say. `go test -c -tags review` builds it as a program: CASE, the program of
// the deploy file and the folder for record.txt are its arguments.
package harness3

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

// caseLimit bounds a case; the deployment is ended then.
const caseLimit = 110 * time.Second

// scenario plays one case. It returns the violations of the rule; an error means that the case could not
// be played.
type scenario func(b *bed) ([]string, error)

var scenarios = map[string]scenario{
	"cancelled": cancelledElsewhere,
	"crashes":   flappingServer,
	"shutdown":  stoppedInTurn,
	"suspects":  oneSuspectAtATime,
	"ejected":   ejectedForItsLabel,
	"pending":   pendingAfterLoss,
	"forgotten": forgottenClaims,
	"reborn":    rebornAsAnotherKind,
	"partial":   partlyCutOff,
	"transit":   lostWhileStarting,
}

// TestMain plays the case that the arguments name.
func TestMain(_ *testing.M) {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "arguments: CASE PROGRAM FOLDER")
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays the case and returns its result.
func play(name, program, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case", "%s, trouble %t", name, trouble)
	site := smallSite
	switch name {
	case "transit":
		site = fleetSite
	case "partial":
		fronts = 4
	}
	b, err := newBed(program, rec, trouble, site)
	if err != nil {
		rec.add("unable", "%v", err)
		return unable
	}
	defer b.close()
	overdue := time.AfterFunc(caseLimit, func() {
		rec.add("unable", "the case has taken too long")
		b.close()
		os.Exit(unable)
	})
	defer overdue.Stop()
	violations, err := scenarios[name](b)
	if err != nil {
		rec.add("unable", "%v", err)
		return unable
	}
	for _, v := range violations {
		rec.add("broken", "%s", v)
	}
	if len(violations) > 0 {
		return broken
	}
	rec.add("held", "the rule held")
	return held
}
