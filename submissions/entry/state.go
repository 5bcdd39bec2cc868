package entry

import (
	"sort"
	"strings"

	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/submissions/placement"
)

// State is what an entry says of itself to operators.
type State struct {
	Box         string       `json:"box"`
	DataCentre  string       `json:"data_centre"`
	Incarnation string       `json:"incarnation"`
	Ready       bool         `json:"ready"` // takes work and can place it in every pool
	Stopping    bool         `json:"stopping"`
	Idle        bool         `json:"idle"` // nobody waits for an answer
	Jobs        int          `json:"jobs"`
	Tasks       int          `json:"tasks"`
	BoxList     uint64       `json:"box_list"` // version last taken
	Agents      []AgentState `json:"agents"`
}

// AgentState is what an entry knows of an agent.
type AgentState struct {
	Address     string `json:"address"`
	Pool        string `json:"pool"`
	DataCentre  string `json:"data_centre"`
	Connected   bool   `json:"connected"`
	Leaving     bool   `json:"leaving"`
	Slots       int    `json:"slots"`
	Outstanding int    `json:"outstanding"` // tasks of this entry that it holds
}

func (e *Entry) ask() (s State, ok bool) {
	return loop.Ask(e.loop, func(answer chan<- State) event { return event{kind: evState, state: answer} })
}

func (e *Entry) askState() State {
	s, ok := e.ask()
	s.Stopping = s.Stopping || !ok
	return s
}

func (e *Entry) state() State {
	jobs, tasks := e.core.Running()
	s := State{
		Box:         e.cfg.Box.Name,
		DataCentre:  e.cfg.Box.DataCentre,
		Incarnation: e.incarnation,
		Stopping:    e.stopping.Load(),
		Idle:        e.core.Idle() && len(e.callers) == 0,
		Jobs:        jobs,
		Tasks:       tasks,
		BoxList:     e.view.Version(),
	}
	for _, addr := range e.view.Known() {
		s.Agents = append(s.Agents, agentState(addr, e.core.Agents().Agent(addr)))
	}
	sort.Slice(s.Agents, func(i, k int) bool { return s.Agents[i].Address < s.Agents[k].Address })
	s.Ready = !s.Stopping && e.canPlace()
	return s
}

func agentState(addr string, a *placement.Agent) AgentState {
	if a == nil {
		return AgentState{Address: addr}
	}
	return AgentState{
		Address:     addr,
		Pool:        a.Pool,
		DataCentre:  a.DataCentre,
		Connected:   true,
		Leaving:     a.Leaving || a.ListedLeaving,
		Slots:       a.Slots,
		Outstanding: a.Outstanding,
	}
}

// canPlace returns whether every pool has an agent that takes work.
func (e *Entry) canPlace() bool {
	for _, pool := range e.cfg.Jobs.Pools {
		usable := false
		for _, a := range e.core.Agents().Pool(pool) {
			usable = usable || !a.Leaving && !a.ListedLeaving
		}
		if !usable {
			return false
		}
	}
	return true
}

func (ev event) inbound() bool { return strings.HasPrefix(ev.peer, inboundPrefix) }

// Connected returns the number of agents connected now.
func (e *Entry) Connected() int {
	n := 0
	for _, a := range e.askState().Agents {
		if a.Connected {
			n++
		}
	}
	return n
}
