package entry

import (
	"sort"
	"strings"

	"github.com/lichenfall/lichenfall/lib/loop"
	"github.com/lichenfall/lichenfall/submissions/placement"
)

// State is an entry's state as reported to operators by /v1/state.
type State struct {
	Box         string       `json:"box"`
	DataCentre  string       `json:"data_centre"`
	Incarnation string       `json:"incarnation"`
	Ready       bool         `json:"ready"` // accepts submissions and can place tasks in every pool
	Stopping    bool         `json:"stopping"`
	Idle        bool         `json:"idle"` // no submission is in flight and no caller waits
	Jobs        int          `json:"jobs"`
	Tasks       int          `json:"tasks"`
	BoxList     uint64       `json:"box_list"` // version last applied
	Agents      []AgentState `json:"agents"`
}

// AgentState is the state of an agent as known to an entry.
type AgentState struct {
	Address     string `json:"address"`
	Pool        string `json:"pool"`
	DataCentre  string `json:"data_centre"`
	Connected   bool   `json:"connected"`
	Leaving     bool   `json:"leaving"`
	Slots       int    `json:"slots"`
	Outstanding int    `json:"outstanding"` // tasks of this entry that the agent holds
}

// requestState reads the state in the control loop; ok is false if the loop has ended.
func (e *Entry) requestState() (s State, ok bool) {
	return loop.Call(e.loop, func(answer chan<- State) event { return event{kind: evState, state: answer} })
}

// currentState returns the entry's state; an entry that has ended is reported as stopping.
func (e *Entry) currentState() State {
	s, ok := e.requestState()
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

// canPlace reports whether every pool has a connected agent that isn't leaving.
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

// inbound reports whether the event's connection was opened by the peer.
func (ev event) inbound() bool { return strings.HasPrefix(ev.peer, inboundPrefix) }

// Connected returns the number of agents that are connected.
func (e *Entry) Connected() int {
	n := 0
	for _, a := range e.currentState().Agents {
		if a.Connected {
			n++
		}
	}
	return n
}
