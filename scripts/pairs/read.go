package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// calls counts the calls of a day by their outcome.
type calls struct {
	N       int     `json:"n"`
	InTime  int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	P99     float64 `json:"p99_ms"` // latency of the answered calls
}

// report has the fields that are used of the bench's report of one day.
type report struct {
	Worth  float64        `json:"G"`
	Broken map[string]any `json:"breaks"` // by rule
	All    calls          `json:"all"`
}

// day holds the reports of one day.
type day struct {
	name    string                       // SITE DAY
	reports map[string]map[string]report // by variant, then seed
}

// seeds returns the seeds that both variants were played with, sorted.
func (d *day) seeds(a, b string) []string {
	var out []string
	for seed := range d.reports[a] {
		if _, ok := d.reports[b][seed]; ok {
			out = append(out, seed)
		}
	}
	slices.Sort(out)
	return out
}

// readDays reads all reports of the variants under out, in the order of the sites and days. It
// leaves out days without a report of the first variant.
func readDays(out string, variants []string) ([]day, error) {
	folders, err := filepath.Glob(filepath.Join(out, "*", "*"))
	if err != nil {
		return nil, err
	}
	slices.Sort(folders)
	var days []day
	for _, folder := range folders {
		d := day{name: filepath.Base(filepath.Dir(folder)) + " " + filepath.Base(folder), reports: make(map[string]map[string]report)}
		for _, v := range variants {
			if d.reports[v], err = readReports(filepath.Join(folder, v)); err != nil {
				return nil, err
			}
		}
		if len(d.reports[variants[0]]) > 0 {
			days = append(days, d)
		}
	}
	return days, nil
}

// readReports reads the reports of one variant on one day, by seed.
func readReports(folder string) (map[string]report, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	reports := make(map[string]report)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var r report
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		reports[strings.TrimSuffix(filepath.Base(file), ".json")] = r
	}
	return reports, nil
}
