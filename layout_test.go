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

// cores are the packages that do no I/O, and the packages of this module that each may
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
	"jobs/subset":    {"jobs/durable", "lib/ordered"},
	"jobs/speed":     {},
	"jobs/dedup":     {"jobs/durable"},
	"jobs/claims":    {"jobs/durable", "lib/ordered", "wire"},
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

// groups are the top-level folders of packages, and the packages and groups that their
// packages may import. Code that both systems share is in lib, or in config, metrics and
// wire, which may import the packages of both.
var groups = map[string][]string{
	"lib":         {"lib", "wire"},
	"jobs":        {"jobs", "lib", "wire", "config", "metrics"},
	"submissions": {"submissions", "lib", "wire", "config", "metrics"},
	"platform":    {"jobs", "lib", "wire"},
}

// ioPackages are the packages of the standard library that do I/O.
var ioPackages = []string{"net", "os", "os/exec", "os/signal", "io/fs", "syscall", "net/netip"}

// mayUseFakes are the packages that may import stand-ins.
var mayUseFakes = []string{"jobs/local", "submissions/local", "commands"}

// TestLayout checks the imports of all packages against cores and groups. It also fails if code
// starts processes, or uses a stand-in outside mayUseFakes.
func TestLayout(t *testing.T) {
	walk(t, func(file, pkg string, imports []string) {
		for _, path := range imports {
			local, isLocal := strings.CutPrefix(path, module)
			allowed, isCore := cores[pkg]
			switch {
			case isCore && isLocal && !slices.Contains(allowed, local):
				t.Errorf("%s: core %s may not import %s", file, pkg, local)
			case isCore && slices.Contains(ioPackages, path):
				t.Errorf("%s: core %s does I/O with %s", file, pkg, path)
			case path == "os/exec":
				t.Errorf("%s: starts processes", file)
			case isLocal && !mayImport(pkg, local):
				t.Errorf("%s: %s may not import %s", file, pkg, local)
			case isLocal && strings.HasPrefix(path[strings.LastIndex(path, "/")+1:], "fake") && !slices.Contains(mayUseFakes, pkg):
				t.Errorf("%s: uses a stand-in", file)
			}
		}
	})
}

// mayImport reports whether the group of the package may import the other package. Packages
// outside the groups may import all.
func mayImport(pkg, other string) bool {
	group, _, _ := strings.Cut(pkg, "/")
	allowed, grouped := groups[group]
	if !grouped {
		return true
	}
	return slices.ContainsFunc(allowed, func(a string) bool { return other == a || strings.HasPrefix(other, a+"/") })
}

// platformNames are names in the interfaces of the users' platform.
var platformNames = []string{
	"log-append", "log-read", "log-newest", "log-join", "log-leave", "private-key", "seq-no",
	"run-start", "run-stop", "/v1/hold", "fencing-token", "deadline-ms", "last-seen", "clock-ms",
	"Instances.Heartbeat", "Instances.Deregister", "X-Expected-Instance", "X-Instance-Id", "X-Time-Remaining",
	"keyed.", "op/config", "evacuate/", "cold-remaining-ms", "path-prefix", "max-attempts", "target-latency-ms", "mem-mb", "estimate-ms",
	"best-effort\"", "bind-addrs", "port-range", "node-name", "/v1/readiness",
}

// TestOnlyTheAdapterKnowsThePlatform checks that only package platform names what is in the
// interfaces of the users' platform, and that only package commands imports it.
func TestOnlyTheAdapterKnowsThePlatform(t *testing.T) {
	walk(t, func(file, pkg string, imports []string) {
		if pkg == "platform" {
			return
		}
		if pkg != "commands" && slices.Contains(imports, module+"platform") {
			t.Errorf("%s: imports the adapter of the platform", file)
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range platformNames {
			if strings.Contains(string(text), name) {
				t.Errorf("%s: contains the platform's name %s", file, name)
			}
		}
	})
}

// codeReference matches a reference in a page to a file and functions in it: `file.go` `f`, `g`.
var codeReference = regexp.MustCompile("`([a-z/]+\\.go)`((?:[ ,]*`[A-Za-z]+`)*)")

// TestPagesNameWhatExists checks that the files and functions exist that the pages refer to
// which an engineer on call uses to find the code.
func TestPagesNameWhatExists(t *testing.T) {
	for _, page := range []string{"docs/DECISIONS.md", "docs/ARCHITECTURE.md", "docs/OPERATIONS.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range codeReference.FindAllStringSubmatch(string(text), -1) {
			checkReference(t, page, m[1], m[2])
		}
	}
}

// checkReference checks that a file of the repository exists and has the functions.
func checkReference(t *testing.T, page, file, functions string) {
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

// walk calls f for each Go file that is not a test. It fails if a package of cores is missing.
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

// mayReadTime are the files of coordinators and workers that may read the clock of package
// time: what they measure is used for metrics, for a pause or as a seed, and no lease depends
// on it.
var mayReadTime = []string{
	"jobs/coordinator/coordinator.go", // the seed of random numbers
	"jobs/coordinator/writer.go",      // the duration of a commit, for metrics
	"jobs/worker/renew.go",            // whether the pause before the next request is due
}

// TestLeasesCountSuspensions checks that coordinators and workers read the time from lib/clock,
// since the monotonic clock of package time stops while the box is suspended.
func TestLeasesCountSuspensions(t *testing.T) {
	walk(t, func(file, pkg string, _ []string) {
		if pkg != "jobs/coordinator" && pkg != "jobs/worker" || slices.Contains(mayReadTime, file) {
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
