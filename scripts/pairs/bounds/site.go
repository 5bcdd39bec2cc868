package main

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// site has the fields that are used of a site file.
type site struct {
	Services []struct {
		Node struct {
			CPU   float64   `toml:"cpu"`   // millicores of a server of size 1
			Sizes []float64 `toml:"sizes"` // of the servers, assigned round-robin
		} `toml:"node"`
	} `toml:"services"`
	Machines []struct {
		Class string `toml:"class"`
		Count int    `toml:"count"`
	} `toml:"machines"`
	Classes []class `toml:"classes"`
	Days    []day   `toml:"day"`
}

// class is a kind of call. Each call is a job of one step.
type class struct {
	Name  string  `toml:"name"`
	Worth float64 `toml:"worth"` // of one call
	Work  struct {
		Mean float64 `toml:"mean"` // milliseconds for each task
	} `toml:"work_ms"`
	Jobs struct {
		Width struct {
			Mean float64 `toml:"mean"` // tasks for each job
		} `toml:"width"`
		CPU struct {
			Mean float64 `toml:"mean"` // millicores for each task
		} `toml:"cpu"`
	} `toml:"jobs"`
}

// taskSeconds returns the sum of the run times of one job's tasks, in seconds.
func (c *class) taskSeconds() float64 { return c.Jobs.Width.Mean * c.Work.Mean / 1000 }

// day is a standard day of the site file. Times are in seconds from its start.
type day struct {
	Name    string  `toml:"name"`
	Faults  []fault `toml:"faults"`
	Closing struct {
		Down float64 `toml:"down_s"`
	} `toml:"closing"`
	Traffic []struct {
		Mix map[string]float64 `toml:"mix"`
	} `toml:"traffic"`
}

// fault is a disruption as the site file plans it.
type fault struct {
	Kind  string  `toml:"kind"`
	At    float64 `toml:"at"`
	For   float64 `toml:"for_s"`
	Class string  `toml:"class"`
	X     float64 `toml:"x"` // strength: factor of the load or of the run time
}

// readSite reads a site file and returns the site and its day of that name. The site must have
// exactly one service.
func readSite(path, name string) (*site, *day, error) {
	s := &site{}
	if _, err := toml.DecodeFile(path, s); err != nil {
		return nil, nil, err
	}
	at := slices.IndexFunc(s.Days, func(d day) bool { return d.Name == name })
	if at < 0 || len(s.Services) != 1 {
		return nil, nil, fmt.Errorf("%s: no day %s, or not one service", path, name)
	}
	return s, &s.Days[at], nil
}

// windowSeconds is the length of a window of the report.
const windowSeconds = 2

// callsByClass divides n calls of the window that begins at from among the classes, by the mix of
// the day's traffic and its bursts of a single class.
func (s *site) callsByClass(d *day, from float64, n int) []float64 {
	weights := make([]float64, len(s.Classes))
	total := 0.0
	for i, c := range s.Classes {
		weights[i] = d.Traffic[0].Mix[c.Name]
		for _, f := range d.Faults {
			if f.Kind == "burst" && f.Class == c.Name {
				weights[i] *= 1 + (f.X-1)*overlap(from, f.At, f.At+f.For)
			}
		}
		total += weights[i]
	}
	for i := range weights {
		weights[i] *= float64(n) / total
	}
	return weights
}

// overlap returns the share of the window beginning at from that lies between begin and end.
func overlap(from, begin, end float64) float64 {
	return max(0, min(from+windowSeconds, end)-max(from, begin)) / windowSeconds
}

// capacityIn returns the task-seconds that the servers could run in the window that begins at
// from. Each server runs as many tasks at once as fit into it whole. Servers that fail or hang
// run none, slowed ones fewer by their factor, and removed ones do not return.
func (s *site) capacityIn(d *day, events []event, from float64) float64 {
	servers, slots := s.slots()
	lost, closed := 0.0, 0.0
	for _, e := range events {
		kind, _, _ := strings.Cut(e.Kind, " ")
		if kind == "closing" {
			closed = max(closed, overlap(from, e.At, e.At+d.Closing.Down))
			continue
		}
		lost += d.lostTo(kind, e, from)
	}
	return slots * max(0, 1-lost/servers) * (1 - closed) * windowSeconds
}

// slots returns the number of servers, and how many tasks they can run at once in total.
func (s *site) slots() (servers, slots float64) {
	node := s.Services[0].Node
	for _, m := range s.Machines {
		if m.Class != "side" {
			continue
		}
		for range m.Count {
			size := node.Sizes[int(servers)%len(node.Sizes)]
			slots += math.Floor(node.CPU * size / s.need())
			servers++
		}
	}
	return servers, slots
}

// lostTo returns how many servers' capacity the disruption takes in the window that begins at
// from. A server that is slowed, or affected for a part of the window, counts in part.
func (d *day) lostTo(kind string, e event, from float64) float64 {
	n := 0.0
	if _, err := fmt.Sscanf(e.What, "%f servers", &n); err != nil {
		return 0 // it doesn't affect servers
	}
	switch kind {
	case "srv_slow":
		return n * (1 - 1/d.strength(kind, e.At)) * overlap(from, e.At, e.To)
	case "scale_in":
		return n * overlap(from, e.At, math.Inf(1))
	case "srv_grey", "srv_crash", "srv_flap":
		return n * overlap(from, e.At, e.To)
	}
	return 0
}

// strength returns the strength of the day's disruption of that kind that begins at that second,
// or infinity if there is none.
func (d *day) strength(kind string, at float64) float64 {
	for _, f := range d.Faults {
		if f.Kind == kind && math.Abs(f.At-at) < 0.01 {
			return f.X
		}
	}
	return math.Inf(1)
}

// need returns the millicores of the largest class of task.
func (s *site) need() float64 {
	largest := 0.0
	for _, c := range s.Classes {
		largest = max(largest, c.Jobs.CPU.Mean)
	}
	return largest
}

// seconds returns the task-seconds of the calls, which are given by class.
func (s *site) seconds(calls []float64) float64 {
	sum := 0.0
	for i := range s.Classes {
		sum += calls[i] * s.Classes[i].taskSeconds()
	}
	return sum
}

// bound returns the largest share of the calls' worth that fits into the capacity, given in
// task-seconds: classes are served in the order of their worth for each task-second.
func (s *site) bound(calls []float64, capacity float64) float64 {
	order := make([]int, len(s.Classes))
	for i := range order {
		order[i] = i
	}
	density := func(i int) float64 { return s.Classes[i].Worth / s.Classes[i].taskSeconds() }
	slices.SortFunc(order, func(a, b int) int {
		if density(a) > density(b) {
			return -1
		}
		return 1
	})
	total, served := 0.0, 0.0
	for _, i := range order {
		seconds := calls[i] * s.Classes[i].taskSeconds()
		worth := calls[i] * s.Classes[i].Worth
		total += worth
		if seconds > 0 {
			served += worth * min(1, capacity/seconds)
		}
		capacity = max(0, capacity-seconds)
	}
	if total == 0 {
		return 1
	}
	return served / total
}
