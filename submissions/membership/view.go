// Package membership is the core that decides which agents an entry keeps a
// connection to, from its settings, the platform's lagging box list, and what
// it sees for itself. It does no I/O.
package membership

import (
	"time"
)

// Change is what follows from a reading of the box list.
type Change struct {
	Dial       []string // agents to connect to
	Leaving    []string // agents that the list calls leaving
	NotLeaving []string // agents that the list no longer calls leaving
	Drop       []string // agents to give up
}

// View is what one entry knows. It is not safe for use by several goroutines.
type View struct {
	absent  time.Duration
	fixed   map[string]bool // from settings
	known   map[string]*member
	version uint64
}

type member struct {
	connected bool
	listed    bool
	leaving   bool
	gone      time.Time // since when it is neither listed nor connected
}

// New returns the view of an entry whose settings name the fixed agents. An
// agent that the list no longer names is given up when it has also been
// without connection for the time absent.
func New(fixed []string, absent time.Duration) *View {
	v := &View{absent: absent, fixed: make(map[string]bool), known: make(map[string]*member)}
	for _, a := range fixed {
		v.fixed[a] = true
		v.known[a] = &member{}
	}
	return v
}

// Version returns the version of the newest list that was taken.
func (v *View) Version() uint64 { return v.version }

// Known returns all agents that are kept.
func (v *View) Known() []string {
	out := make([]string, 0, len(v.known))
	for a := range v.known {
		out = append(out, a)
	}
	return out
}

// SetConnected records that a connection to the agent was made or lost.
func (v *View) SetConnected(now time.Time, agent string, up bool) {
	m := v.known[agent]
	if m == nil {
		return
	}
	m.connected = up
	m.gone = now
}

// Apply takes a reading of the list; ok is false when it is passed over
// because it is older than the last one or empty.
func (v *View) Apply(now time.Time, l BoxList) (c Change, ok bool) {
	if l.Version < v.version || len(l.Boxes) == 0 {
		return Change{}, false
	}
	v.version = l.Version
	listed := make(map[string]bool, len(l.Boxes))
	for _, b := range l.Boxes {
		listed[b.Address] = true
		v.take(&c, b)
	}
	for agent, m := range v.known {
		if m.listed && !listed[agent] {
			m.listed = false
			m.gone = now
		}
	}
	return c, true
}

func (v *View) take(c *Change, b Box) {
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

// ListedLeaving returns whether the newest list calls the agent leaving.
func (v *View) ListedLeaving(agent string) bool {
	m := v.known[agent]
	return m != nil && m.leaving
}

// Expire gives up agents that have been absent for long enough.
func (v *View) Expire(now time.Time) Change {
	var c Change
	for agent, m := range v.known {
		if m.connected || m.listed || v.fixed[agent] || now.Sub(m.gone) < v.absent {
			continue
		}
		delete(v.known, agent)
		c.Drop = append(c.Drop, agent)
	}
	return c
}
