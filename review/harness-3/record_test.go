//go:build review

package harness3

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since it was opened. It is safe for
// concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

// add writes one line. Lines about the result are printed too.
func (r *record) add(what, format string, args ...any) {
	line := fmt.Sprintf("%8.3f %-9s %s\n", time.Since(r.began).Seconds(), what, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.w.WriteString(line)
	switch what {
	case "broken", "held", "unable", "seen":
		fmt.Print(line)
		_ = r.w.Flush()
	}
}

// at returns a time as it stands in the record, in seconds.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
