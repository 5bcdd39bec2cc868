// Command pairs compares variants of the program by the reports of scripts/play, which plays
// each day with each seed on each variant. It reads OUT/SITE/DAY/VARIANT/SEED.json
// and writes OUT/pairs.md, a table of the mean differences from the first variant with
// their 95 % confidence intervals, and OUT/pairs.png, a plot of them.
//
//	go run . OUT VARIANT...
//
// It owns no state and relies on the users' bench for the format of the reports.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: pairs OUT VARIANT...")
		os.Exit(2)
	}
	out, variants := os.Args[1], os.Args[2:]
	if err := run(out, variants); err != nil {
		fmt.Fprintln(os.Stderr, "pairs:", err)
		os.Exit(1)
	}
}

// run compares the variants and writes both files below out.
func run(out string, variants []string) error {
	days, err := readDays(out, variants)
	if err != nil {
		return err
	}
	text := table(days, variants)
	fmt.Print(text)
	if err := os.WriteFile(filepath.Join(out, "pairs.md"), []byte(text), 0o644); err != nil {
		return err
	}
	if len(variants) == 1 {
		return nil // nothing to compare
	}
	return draw(days, variants, filepath.Join(out, "pairs.png"))
}
