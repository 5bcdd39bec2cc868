package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestDifference(t *testing.T) {
	d := differenceOf([]float64{0.01, 0.03, 0.02, 0.02})
	const halfWidth = 3.1824 * 0.0081650 / 2 // t for 3 degrees of freedom, standard deviation, root of 4
	if math.Abs(d.mean-0.02) > 1e-9 || math.Abs(d.halfWidth-halfWidth) > 1e-5 || d.n != 4 {
		t.Errorf("%+v, want a mean of 0.02 and a half width of %.5f", d, halfWidth)
	}
	if one := differenceOf([]float64{0.5}); !math.IsNaN(one.halfWidth) {
		t.Errorf("the half width for one pair is %v, want NaN", one.halfWidth)
	}
}

// TestCompare compares two variants of which the second was not played with one seed: only
// seeds that both have count, and the table and the plot are written.
func TestCompare(t *testing.T) {
	out := t.TempDir()
	write := func(variant, seed, text string) {
		folder := filepath.Join(out, "site", "busy", variant)
		if err := os.MkdirAll(folder, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, seed+".json"), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("a", "1", `{"G":0.5,"breaks":{},"all":{"n":10,"in_aim":8,"late":2}}`)
	write("a", "2", `{"G":0.6,"breaks":{},"all":{"n":10,"in_aim":8,"late":2}}`)
	write("a", "3", `{"G":0.9,"breaks":{},"all":{"n":10,"in_aim":8,"late":2}}`)
	write("b", "1", `{"G":0.6,"breaks":{"LIMIT":2},"all":{"n":10,"in_aim":9,"refused":1}}`)
	write("b", "2", `{"G":0.7,"breaks":{},"all":{"n":10,"in_aim":9,"refused":1}}`)
	if err := run(out, []string{"a", "b"}); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(out, "pairs.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| site busy | 3 | 0.6667 | +0.1000 ± 0.0000 |",
		"| b | 0.6500 | 90.00 | 0.00 | 10.00 | 0.00 | 0 | 1 |",
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the page lacks %q:\n%s", want, page)
		}
	}
	if _, err := os.Stat(filepath.Join(out, "pairs.png")); err != nil {
		t.Error(err)
	}
}
