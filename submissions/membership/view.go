// Package membership is the core that decides which agents an entry keeps
// connections to. It owns the entry's list of agents and relies on its settings,
// on the platform's box list, which lags behind, and on the state of the entry's
// own connections. It does no I/O.
package membership

import (
	"time"
)

// Change lists what the entry has to do after a reading of the box list or the
// expiry of agents.
type Change struct {
	Dial       []string // agents to connect to
	Leaving    []string // agents that the list newly has as leaving
	NotLeaving []string // agents that the list no longer has as leaving
	Drop       []string // agents to disconnect from for good
}

// View is the list of agents of one entry. It is not safe for concurrent use.
type View struct {
	absentTimeout time.Duration
	static        map[string]bool // agents named in the settings, which are never dropped
	known         map[string]*member
	version       uint64
}

type member struct {
	connected   bool
	listed      bool
	leaving     bool
	absentSince time.Time // last time that it was connected, disconnected or removed from the list
}

// New returns the view of an entry whose settings name the static agents. Any
// other agent is dropped when it has been neither listed nor connected for
// absentTimeout.
func New(static []string, absentTimeout time.Duration) *View {
	v := &View{absentTimeout: absentTimeout, static: make(map[string]bool), known: make(map[string]*member)}
	for _, a := range static {
		v.static[a] = true
		v.known[a] = &member{}
	}
	return v
}

// Version returns the version of the newest list that was applied.
func (v *View) Version() uint64 { return v.version }

// Known returns all agents of the view, in no particular order.
func (v *View) Known() []string {
	out := make([]string, 0, len(v.known))
	for a := range v.known {
		out = append(out, a)
	}
	return out
}

// SetConnected records that the connection to the agent was made or lost.
func (v *View) SetConnected(now time.Time, agent string, up bool) {
	m := v.known[agent]
	if m == nil {
		return
	}
	m.connected = up
	m.absentSince = now
}

// Apply applies a reading of the list. ok is false if the list is ignored because
// it is empty or older than the last one.
func (v *View) Apply(now time.Time, l BoxList) (c Change, ok bool) {
	if l.Version < v.version || len(l.Boxes) == 0 {
		return Change{}, false
	}
	v.version = l.Version
	listed := make(map[string]bool, len(l.Boxes))
	for _, b := range l.Boxes {
		listed[b.Address] = true
		v.applyBox(&c, b)
	}
	for agent, m := range v.known {
		if m.listed && !listed[agent] {
			m.listed = false
			m.absentSince = now
		}
	}
	return c, true
}

func (v *View) applyBox(c *Change, b Box) {
	m := v.known[b.Address]
	if m == nil {
		m = &member{}
		v.known[b.Address] = m
		c.Dial = append(c.Dial, b.Address)
	}
	m.listed = true
	if b.State == Leaving && !m.leaving {
		c.Leaving = append(c.Leaving, b.Address)
	}
	if b.State != Leaving && m.leaving {
		c.NotLeaving = append(c.NotLeaving, b.Address)
	}
	m.leaving = b.State == Leaving
}

// ListedLeaving returns whether the newest list that names the agent has it as
// leaving.
func (v *View) ListedLeaving(agent string) bool {
	m := v.known[agent]
	return m != nil && m.leaving
}

// Expire drops the agents that have been absent for absentTimeout.
func (v *View) Expire(now time.Time) Change {
	var c Change
	for agent, m := range v.known {
		if m.connected || m.listed || v.static[agent] || now.Sub(m.absentSince) < v.absentTimeout {
			continue
		}
		delete(v.known, agent)
		c.Drop = append(c.Drop, agent)
	}
	return c
}
