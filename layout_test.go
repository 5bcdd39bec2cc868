package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/lichenfall/lichenfall/"

// cores are the packages without I/O, and the packages of ours that each may
// import; see docs/ARCHITECTURE.md.
var cores = map[string][]string{
	"lib/failure": {},
	"lib/ordered": {},
	"lib/retry":   {},
	"wire":        {"jobs/durable"},

	"jobs/durable":   {},
	"jobs/routing":   {"jobs/durable"},
	"jobs/store":     {"jobs/durable", "jobs/routing"},
	"jobs/ownership": {"jobs/store"},
	"jobs/subset":    {},
	"jobs/speed":     {},
	"jobs/dedup":     {"jobs/durable"},
	"jobs/room":      {"jobs/durable", "lib/ordered", "wire"},
	"jobs/runtable":  {"jobs/durable", "jobs/room", "jobs/routing", "jobs/speed", "lib/ordered", "wire"},
	"jobs/scheduler": {"jobs/durable", "jobs/routing", "lib/failure", "lib/ordered", "wire"},

	"submissions/claim":      {"wire"},
	"submissions/job":        {"submissions/claim", "lib/failure"},
	"submissions/placement":  {"wire"},
	"submissions/queue":      {"lib/failure", "wire"},
	"submissions/membership": {},
	"submissions/dispatch":   {"submissions/claim", "lib/failure", "submissions/job", "submissions/placement", "lib/retry", "wire"},
}

// groups are the folders of packages that belong together, and the packages and
// groups that those in each may import. What both systems share stands in lib, or
// knows the packages of both: config, metrics and wire.
var groups = map[string][]string{
	"lib":         {"lib", "wire"},
	"jobs":        {"jobs", "lib", "wire", "config", "metrics"},
	"submissions": {"submissions", "lib", "wire", "config", "metrics"},
	"platform":    {"jobs", "lib", "wire"},
}

var ioPackages = []string{"net", "os", "os/exec", "os/signal", "io/fs", "syscall", "net/netip"}

// users of the stand-ins and of whole local systems.
var mayUseFakes = []string{"jobs/local", "submissions/local", "commands"}

func TestLayout(t *testing.T) {
	walk(t, func(file, pkg string, imports []string) {
		for _, path := range imports {
			ours, isOurs := strings.CutPrefix(path, module)
			allowed, isCore := cores[pkg]
			switch {
			case isCore && isOurs && !slices.Contains(allowed, ours):
				t.Errorf("%s: core %s may not import %s", file, pkg, ours)
			case isCore && slices.Contains(ioPackages, path):
				t.Errorf("%s: core %s does I/O by %s", file, pkg, path)
			case path == "os/exec":
				t.Errorf("%s: starts processes", file)
			case isOurs && !mayImport(pkg, ours):
				t.Errorf("%s: %s may not import %s", file, pkg, ours)
			case isOurs && strings.HasPrefix(path[strings.LastIndex(path, "/")+1:], "fake") && !slices.Contains(mayUseFakes, pkg):
				t.Errorf("%s: uses a stand-in", file)
			}
		}
	})
}

// mayImport returns whether the group of the package may import the other one.
func mayImport(pkg, other string) bool {
	group, _, _ := strings.Cut(pkg, "/")
	allowed, grouped := groups[group]
	if !grouped {
		return true
	}
	return slices.ContainsFunc(allowed, func(a string) bool { return other == a || strings.HasPrefix(other, a+"/") })
}

// platformNames are names that only the users' platform has.
var platformNames = []string{
	"log-append", "log-read", "log-newest", "log-join", "log-leave", "private-key", "seq-no",
	"run-start", "run-stop", "/v1/hold", "fencing-token", "deadline-ms", "last-seen", "clock-ms",
	"Instances.Heartbeat", "Instances.Deregister", "X-Expected-Instance", "X-Instance-Id", "X-Time-Remaining",
	"keyed.", "op/config", "evacuate/", "cold-remaining-ms", "path-prefix", "max-attempts", "target-latency-ms", "mem-mb", "estimate-ms",
	"best-effort\"", "bind-addrs", "port-range", "node-name", "/v1/readiness",
}

func TestOnlyTheAdapterKnowsThePlatform(t *testing.T) {
	walk(t, func(file, pkg string, imports []string) {
		if pkg == "platform" {
			return
		}
		if pkg != "commands" && slices.Contains(imports, module+"platform") {
			t.Errorf("%s: uses the adapter of the platform", file)
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range platformNames {
			if strings.Contains(string(text), name) {
				t.Errorf("%s: knows the platform's name %s", file, name)
			}
		}
	})
}

// named finds a file and the functions named after it in a page: `file.go` `f`, `g`.
var named = regexp.MustCompile("`([a-z/]+\\.go)`((?:[ ,]*`[A-Za-z]+`)*)")

// TestPagesNameWhatExists holds the pages that an engineer on call follows into the
// code.
func TestPagesNameWhatExists(t *testing.T) {
	for _, page := range []string{"docs/DECISIONS.md", "docs/ARCHITECTURE.md", "docs/OPERATIONS.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range named.FindAllStringSubmatch(string(text), -1) {
			checkNamed(t, page, m[1], m[2])
		}
	}
}

// checkNamed checks that a file of the repository has the functions.
func checkNamed(t *testing.T, page, file, functions string) {
	code, err := os.ReadFile(filepath.FromSlash(file))
	if err != nil {
		t.Errorf("%s: %v", page, err)
		return
	}
	for _, name := range strings.FieldsFunc(functions, func(r rune) bool { return strings.ContainsRune(" ,`", r) }) {
		if !regexp.MustCompile(`\nfunc (\([^)]*\) )?` + name + `[\[(]`).Match(code) {
			t.Errorf("%s: %s has no function %s", page, file, name)
		}
	}
}

// walk calls f for each file of code that is no test.
func walk(t *testing.T, f func(file, pkg string, imports []string)) {
	seen := make(map[string]bool)
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		var imports []string
		for _, i := range parsed.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			imports = append(imports, name)
		}
		pkg := filepath.ToSlash(filepath.Dir(path))
		seen[pkg] = true
		f(path, pkg, imports)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for pkg := range cores {
		if !seen[pkg] {
			t.Errorf("there is no package %s", pkg)
		}
	}
}

// readsOwnClock are the files of the daemons of jobs that may read the clock of package
// time: what they measure ends in metrics or in a pause, not in a lease.
var readsOwnClock = []string{
	"jobs/coordinator/coordinator.go", // a seed
	"jobs/coordinator/writer.go",      // how long a commit took
	"jobs/worker/renew.go",            // whether a pause is due
}

// TestLeasesCountSuspensions sees that the daemons of jobs take the time from lib/clock,
// since that of package time stands still while the box is suspended.
func TestLeasesCountSuspensions(t *testing.T) {
	walk(t, func(file, pkg string, _ []string) {
		if pkg != "jobs/coordinator" && pkg != "jobs/worker" || slices.Contains(readsOwnClock, file) {
			return
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "time.Now()") {
			t.Errorf("%s: reads a clock that does not count suspensions", file)
		}
	})
}
