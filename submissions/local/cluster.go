// Package local runs entries and agents in one process on loopback, with stand-ins for the backend
// servers and the platform's box list. It owns all that it starts. The dev command, the load command
// and tests use it.
package local

import (
	"context"
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/ports"
	"github.com/lichenfall/lichenfall/submissions/agent"
	"github.com/lichenfall/lichenfall/submissions/entry"
	"github.com/lichenfall/lichenfall/submissions/fakebackend"
	"github.com/lichenfall/lichenfall/submissions/fakeboxlist"
	"github.com/lichenfall/lichenfall/submissions/membership"
)

// Options configures a cluster.
type Options struct {
	Entries     int
	Agents      int
	DataCentres []string // agents and entries are assigned to them in rotation
	HTTP        string   // HTTP address of the first entry; empty means a free port
	Backend     fakebackend.Settings
	Log         *logging.Log
	Seed        uint64
	// Entry and Agent, unless nil, change the settings of each entry and agent before it starts.
	Entry func(*config.Entry)
	Agent func(*config.Agent)
}

// The workspace and the pool that the entries of a cluster accept.
const (
	Workspace = "tabua"
	Pool      = "default"
)

const agentsPerRack = 3

// Cluster is a running set of entries, agents and stand-ins.
type Cluster struct {
	BoxList  *fakeboxlist.List
	Backends []*fakebackend.Backend
	Agents   []*agent.Agent
	Entries  []*entry.Entry

	opts    Options
	holders []string
	boxes   []membership.Box
}

// Start starts a cluster. It returns when every entry is connected to every agent and new IDs can be
// claimed at all agents, or with an error when ctx ends.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"local"}
	}
	c := &Cluster{opts: o}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.BoxList, err = fakeboxlist.New(ports.Any); err != nil {
		return err
	}
	if c.holders, err = ports.Free(c.opts.Agents); err != nil {
		return err
	}
	for i := range c.opts.Agents {
		if err := c.addAgent(i); err != nil {
			return err
		}
	}
	c.BoxList.SetBoxes(c.boxes)
	for i := range c.opts.Entries {
		if err := c.addEntry(i); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

func (c *Cluster) addAgent(i int) error {
	s := c.opts.Backend
	s.Listen = ports.Any
	b, err := fakebackend.New(s, c.opts.Seed+uint64(i)+1)
	if err != nil {
		return err
	}
	c.Backends = append(c.Backends, b)
	a, err := agent.Start(c.agentConfig(i), c.opts.Log)
	if err != nil {
		return err
	}
	c.Agents = append(c.Agents, a)
	c.boxes = append(c.boxes, membership.Box{
		Name:       fmt.Sprintf("agent-%d", i),
		Address:    c.holders[i],
		DataCentre: c.dataCentre(i),
		Rack:       fmt.Sprintf("rack-%d", i/agentsPerRack),
		State:      membership.Live,
	})
	return nil
}

func (c *Cluster) agentConfig(i int) *config.Agent {
	cfg := config.DefaultAgent()
	cfg.Box = config.Box{Name: fmt.Sprintf("agent-%d", i), DataCentre: c.dataCentre(i)}
	cfg.Peers.Listen = c.holders[i]
	cfg.Claims.Holders = c.holders
	cfg.Backend.URL = c.Backends[i].URL()
	cfg.Backend.Pool = Pool
	if c.opts.Agent != nil {
		c.opts.Agent(cfg)
	}
	return cfg
}

func (c *Cluster) addEntry(i int) error {
	cfg := config.DefaultEntry()
	cfg.Box = config.Box{Name: fmt.Sprintf("entry-%d", i), DataCentre: c.dataCentre(i)}
	cfg.HTTP.Listen = ports.Any
	if i == 0 && c.opts.HTTP != "" {
		cfg.HTTP.Listen = c.opts.HTTP
	}
	cfg.Claims.Holders = c.holders
	cfg.Jobs.Workspaces = []string{Workspace}
	cfg.Jobs.Pools = []string{Pool}
	cfg.BoxList.URL = c.BoxList.URL()
	if c.opts.Entry != nil {
		c.opts.Entry(cfg)
	}
	e, err := entry.Start(cfg, c.opts.Log)
	if err != nil {
		return err
	}
	c.Entries = append(c.Entries, e)
	return nil
}

func (c *Cluster) dataCentre(i int) string {
	return c.opts.DataCentres[i%len(c.opts.DataCentres)]
}

// RestartAgent ends an agent as a crash would, and starts a new one at the same address with empty
// state. Its backend server keeps running.
func (c *Cluster) RestartAgent(i int) error {
	c.Agents[i].Kill()
	a, err := agent.Start(c.agentConfig(i), c.opts.Log)
	if err != nil {
		return err
	}
	c.Agents[i] = a
	return nil
}

// URLs returns the URLs of the entries, without a path.
func (c *Cluster) URLs() []string {
	out := make([]string, len(c.Entries))
	for i, e := range c.Entries {
		out[i] = "http://" + e.Addr()
	}
	return out
}

const (
	readyPoll    = 10 * time.Millisecond // between two checks whether an entry is connected to all agents
	idResolution = time.Millisecond      // the time in an ID is rounded down to a multiple of it
)

// awaitReady waits until every entry is connected to every agent, and IDs that are created from now on
// can be claimed at every agent.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for _, e := range c.Entries {
		for e.Connected() < len(c.Agents) {
			if err := sleep(ctx, readyPoll); err != nil {
				return err
			}
		}
	}
	for _, a := range c.Agents {
		if err := sleep(ctx, time.Until(a.ClaimsSince().Add(idResolution))); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for d, or returns the cause of the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(d):
		return nil
	}
}

// Stop performs a planned stop of all entries and then of all agents, and closes the stand-ins.
func (c *Cluster) Stop(ctx context.Context) {
	for _, e := range c.Entries {
		e.Stop(ctx)
	}
	for _, a := range c.Agents {
		a.Stop(ctx)
	}
	c.closeFakes()
}

// Close stops everything at once.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		e.Kill()
	}
	for _, a := range c.Agents {
		a.Kill()
	}
	c.closeFakes()
}

func (c *Cluster) closeFakes() {
	for _, b := range c.Backends {
		b.Close()
	}
	if c.BoxList != nil {
		c.BoxList.Close()
	}
}

// ScrapeURLs returns the URLs of the servers with the metrics of all entries and agents, without a
// path.
func (c *Cluster) ScrapeURLs() []string {
	out := c.URLs()
	for _, a := range c.Agents {
		out = append(out, "http://"+a.AdminAddr())
	}
	return out
}
