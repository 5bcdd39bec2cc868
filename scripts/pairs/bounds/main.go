// Bounds says how much of each window of a played day any scheduler could have served
// that had known everything: it reads the bench's report of the day and the site file.
// It is a bound by capacity alone, in whole tasks: it leaves out that callers reach boxes
// without power, and the time that messages and tasks take.
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
	fmt.Println("| second | asked | tasks' seconds asked | that the servers could do | bound | served | lost below the bound |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, w := range r.Windows {
		from, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return fmt.Errorf("window %q: %w", w.Name, err)
		}
		asked := s.askedIn(d, from, w.N)
		room := s.roomIn(d, r.Events, from)
		bound := s.bound(asked, room)
		fmt.Printf("| %g | %d | %.0f | %.0f | %.3f | %.3f | %.3f |\n", from, w.N, s.seconds(asked), room, bound, w.Worth, max(0, bound-w.Worth))
	}
	return nil
}

// report is what is read of the bench's report of one day.
type report struct {
	Windows []window `json:"windows"`
	Events  []event  `json:"events"`
}

// window is two seconds of the day.
type window struct {
	Name  string  `json:"name"` // the second in which it begins
	N     int     `json:"n"`    // calls
	Worth float64 `json:"worth"`
}

// event is a disruption as it was played.
type event struct {
	At   float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"` // with its variant in brackets
	What string  `json:"what"` // such as "26 servers"
}

func readReport(path string) (report, error) {
	var r report
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(text, &r)
}
