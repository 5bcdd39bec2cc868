package main

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// site is what is read of a site file.
type site struct {
	Services []struct {
		Node struct {
			CPU   float64   `toml:"cpu"`   // thousandths of a core of a size of 1
			Sizes []float64 `toml:"sizes"` // dealt out in turn
		} `toml:"node"`
	} `toml:"services"`
	Machines []struct {
		Class string `toml:"class"`
		Count int    `toml:"count"`
	} `toml:"machines"`
	Classes []class `toml:"classes"`
	Days    []day   `toml:"day"`
}

// class is a kind of call, each a job of one step.
type class struct {
	Name  string  `toml:"name"`
	Worth float64 `toml:"worth"`
	Work  struct {
		Mean float64 `toml:"mean"` // milliseconds of a task
	} `toml:"work_ms"`
	Jobs struct {
		Width struct {
			Mean float64 `toml:"mean"` // tasks
		} `toml:"width"`
		CPU struct {
			Mean float64 `toml:"mean"` // thousandths of a core of a task
		} `toml:"cpu"`
	} `toml:"jobs"`
}

// taskSeconds returns how long the tasks of one job take together.
func (c *class) taskSeconds() float64 { return c.Jobs.Width.Mean * c.Work.Mean / 1000 }

// day is a standard day.
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

// fault is a disruption as the day's file has it.
type fault struct {
	Kind  string  `toml:"kind"`
	At    float64 `toml:"at"`
	For   float64 `toml:"for_s"`
	Class string  `toml:"class"`
	X     float64 `toml:"x"`
}

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

// askedIn divides the calls of a window among the classes, by the mix of the day and the
// bursts that are of one class.
func (s *site) askedIn(d *day, from float64, n int) []float64 {
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

// overlap returns the share of the window that lies between the two seconds.
func overlap(from, begin, end float64) float64 {
	return max(0, min(from+windowSeconds, end)-max(from, begin)) / windowSeconds
}

// roomIn returns how many seconds of tasks the servers could do in the window, each as
// many tasks at once as it holds in whole. Servers that fail or hang do none, slow ones
// so much less; those that leave are gone for good.
func (s *site) roomIn(d *day, events []event, from float64) float64 {
	servers, slots := s.slots()
	lost, off := 0.0, 0.0
	for _, e := range events {
		kind, _, _ := strings.Cut(e.Kind, " ")
		if kind == "closing" {
			off = max(off, overlap(from, e.At, e.At+d.Closing.Down))
			continue
		}
		lost += d.lostTo(kind, e, from)
	}
	return slots * max(0, 1-lost/servers) * (1 - off) * windowSeconds
}

// slots returns how many servers there are, and how many tasks they hold at once.
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

// lostTo returns how many servers the disruption takes in the window; a slow one counts in
// part.
func (d *day) lostTo(kind string, e event, from float64) float64 {
	n := 0.0
	if _, err := fmt.Sscanf(e.What, "%f servers", &n); err != nil {
		return 0 // it does not strike servers
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

// strength returns how strong the disruption is that begins then.
func (d *day) strength(kind string, at float64) float64 {
	for _, f := range d.Faults {
		if f.Kind == kind && math.Abs(f.At-at) < 0.01 {
			return f.X
		}
	}
	return math.Inf(1)
}

// need returns what a task takes, in thousandths of a core.
func (s *site) need() float64 {
	most := 0.0
	for _, c := range s.Classes {
		most = max(most, c.Jobs.CPU.Mean)
	}
	return most
}

func (s *site) seconds(asked []float64) float64 {
	sum := 0.0
	for i := range s.Classes {
		sum += asked[i] * s.Classes[i].taskSeconds()
	}
	return sum
}

// bound returns the share of the worth asked that fits into the room, if what is worth
// most for the room that it takes goes first.
func (s *site) bound(asked []float64, room float64) float64 {
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
		seconds := asked[i] * s.Classes[i].taskSeconds()
		worth := asked[i] * s.Classes[i].Worth
		total += worth
		if seconds > 0 {
			served += worth * min(1, room/seconds)
		}
		room = max(0, room-seconds)
	}
	if total == 0 {
		return 1
	}
	return served / total
}
