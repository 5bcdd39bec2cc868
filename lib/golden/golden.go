// Package golden compares what a test produced with a file that is kept in the
// repository. Such files hold what other programs and stored data rely on:
// encoded messages and records, settings, HTTP answers, names of metrics. Only
// tests import it. It owns nothing, and relies on the test's own folder.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeVariable names the environment variable that makes Check write the files
// in place of comparing them.
const writeVariable = "LICHENFALL_WRITE_GOLDEN"

const (
	dirMode  = 0o755 // of testdata
	fileMode = 0o644 // of a file
)

// Check fails the test unless testdata/name holds exactly got.
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
	was, is := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range max(len(was), len(is)) {
		if line(was, i) != line(is, i) {
			t.Fatalf("%s:%d differs\nkept: %s\nnow:  %s", file, i+1, line(was, i), line(is, i))
		}
	}
}

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
