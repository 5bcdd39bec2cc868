// Command bounds prints an upper bound on the share of the worth that any scheduler could
// have served in each window of a played day, next to the share that was served. It reads
// the bench's report of the day and the site file. The bound follows from the capacity of
// the backend servers alone, in whole tasks: it ignores that some calls reach boxes without
// power, and the time that messages and tasks take. It owns no state.
//
//	go run ./bounds REPORT SITE DAY
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the table for the report, the site file and the day that args name.
func run(args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("usage: bounds REPORT SITE DAY")
	}
	r, err := readReport(args[0])
	if err != nil {
		return err
	}
	s, d, err := readSite(args[1], args[2])
	if err != nil {
		return err
	}
	fmt.Println("| second | calls | task-seconds requested | task-seconds of capacity | bound | served | lost below the bound |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, w := range r.Windows {
		from, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return fmt.Errorf("window %q: %w", w.Name, err)
		}
		byClass := s.callsByClass(d, from, w.N)
		capacity := s.capacityIn(d, r.Events, from)
		bound := s.bound(byClass, capacity)
		fmt.Printf("| %g | %d | %.0f | %.0f | %.3f | %.3f | %.3f |\n", from, w.N, s.seconds(byClass), capacity, bound, w.Worth, max(0, bound-w.Worth))
	}
	return nil
}

// report has the fields that are used of the bench's report of one day.
type report struct {
	Windows []window `json:"windows"`
	Events  []event  `json:"events"`
}

// window is a part of the day, of windowSeconds.
type window struct {
	Name  string  `json:"name"`  // the second at which it begins
	N     int     `json:"n"`     // number of calls
	Worth float64 `json:"worth"` // share of the worth that was served
}

// event is a disruption as it took place, in seconds of the day.
type event struct {
	At   float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"` // followed by its variant in brackets
	What string  `json:"what"` // what it hit, such as "26 servers"
}

func readReport(path string) (report, error) {
	var r report
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(text, &r)
}
