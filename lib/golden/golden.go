// Package golden compares the output of a test with a golden file of the repository. Golden files
// hold formats that other programs or stored data rely on: encoded messages and records, settings,
// HTTP answers, names of metrics. Only tests import the package. It holds no state, and relies on
// the folder testdata of the test's package.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeVariable is the environment variable with which Check writes golden files in place of
// comparing them.
const writeVariable = "LICHENFALL_WRITE_GOLDEN"

const (
	dirMode  = 0o755 // of testdata
	fileMode = 0o644 // of a file
)

// Check fails the test if the content of testdata/name differs from got. With
// LICHENFALL_WRITE_GOLDEN set, it writes got to that file.
func Check(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if os.Getenv(writeVariable) != "" {
		write(t, file, got)
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		if line(wantLines, i) != line(gotLines, i) {
			t.Fatalf("%s:%d differs\nwant: %s\ngot:  %s", file, i+1, line(wantLines, i), line(gotLines, i))
		}
	}
}

// line returns line i, counted from 0, or a placeholder after the last one.
func line(lines []string, i int) string {
	if i >= len(lines) {
		return "(no such line)"
	}
	return lines[i]
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(file), dirMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
}
