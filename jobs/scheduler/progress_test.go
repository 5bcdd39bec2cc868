package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/wire"
)

// server is a worker's backend server as progressCase sets it up.
type server struct {
	name   string
	label  string
	cores  int64
	unfree int64 // cores that other coordinators use
}

// progressCase is a core that owns all partitions and is connected to servers, with stored jobs.
type progressCase struct {
	*fixture
	servers []server
	stored  map[durable.JobID]*durable.Stored
	ordered map[durable.JobID]string // by job: the worker of its last order
	stamps  int64
}

func newProgressCase(servers ...server) *progressCase {
	return &progressCase{fixture: newFixture(), servers: servers, stored: make(map[durable.JobID]*durable.Stored), ordered: make(map[durable.JobID]string)}
}

// add stores a job of one step. A begun job has another one before it, which is done.
func (c *progressCase) add(begun bool, step durable.Step) durable.JobID {
	id := durable.JobID(fmt.Sprintf("%016x", len(c.stored)+1))
	s := job(step)
	s.ID = id
	p := &durable.Progress{}
	if begun {
		step.DependsOn = []uint32{0}
		s.Steps = []durable.Step{tasks(1), step}
		p.Done = p.Done.With(0)
	}
	c.stored[id] = &durable.Stored{Submission: s, Progress: p}
	return id
}

// start takes the partitions over and connects the workers.
func (c *progressCase) start() {
	for n := range c.cfg.Partitions {
		jobs := make(map[durable.JobID]*durable.Stored)
		for id, s := range c.stored {
			if id.Partition(c.cfg.Partitions) == n {
				jobs[id] = s
			}
		}
		c.core.Acquire(c.now, &scheduler.Takeover{Partition: n, Epoch: epoch, Jobs: jobs})
	}
	for _, s := range c.servers {
		c.core.WorkerUp(c.now, s.name, "nadi")
		c.report(s)
		for n := range c.cfg.Partitions {
			c.core.Runs(c.now, s.name, &wire.PartitionRuns{Partition: n, Epoch: epoch})
		}
	}
	c.core.Confirmed(c.now, c.now)
}

// report sends a status of the worker.
func (c *progressCase) report(s server) {
	c.stamps++
	capacity := durable.Resources{CPU: 1000 * s.cores, Memory: 100000}
	free := capacity
	free.CPU -= 1000 * s.unfree
	c.core.Status(c.now, s.name, &wire.WorkerStatus{
		Stamp: c.stamps, Ready: true, StartSeq: c.starts[s.name], Free: free,
		Identity: &wire.BackendIdentity{Instance: "i-" + s.name, Service: "s", Capacity: capacity, Labels: []string{s.label}},
	})
}

// run passes time. Runs never end, and every worker goes on reporting the same free capacity, so that all
// that could be ordered is.
func (c *progressCase) run(d time.Duration) {
	const step = 5 * time.Millisecond // within which a status is fresh
	for end := c.now.Add(d); c.now.Before(end); {
		for _, s := range c.servers {
			c.report(s)
		}
		c.pass(step)
		for _, o := range c.orders(c.core.Take(c.now)) {
			c.ordered[o.order.Ref.Task.Job] = o.worker
		}
	}
}

// expectOrdered checks that a run of each job was ordered.
func (c *progressCase) expectOrdered(t *testing.T, ids ...durable.JobID) {
	t.Helper()
	missing := 0
	for _, id := range ids {
		if c.ordered[id] == "" {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d jobs that workers could run stand still", missing, len(ids))
	}
}

// ofKind returns a step of n long tasks that require the label and take so many cores each.
func ofKind(label string, n uint32, cores int64) durable.Step {
	return durable.Step{Count: n, Requires: label, Need: durable.Resources{CPU: 1000 * cores, Memory: 10}, EstimateMS: 5000}
}

const progressTime = 3 * time.Second // within which a job that could run has to begin

// TestWorkThatCannotGoOnHoldsUpNone guards against jobs that stand still beside idle servers, behind tasks
// that no server can run now: dispatch gave the queue up after 24 of them.
func TestWorkThatCannotGoOnHoldsUpNone(t *testing.T) {
	idle := []server{{name: "a1", label: "a", cores: 16}, {name: "a2", label: "a", cores: 16}}
	cases := []struct {
		name    string
		servers []server
		fill    func(c *progressCase)
	}{
		{"the kind is gone", nil, func(c *progressCase) { c.add(true, ofKind("b", 24, 1)) }},
		{"the kind is busy", []server{{name: "b", label: "b", cores: 16, unfree: 16}}, func(c *progressCase) { c.add(true, ofKind("b", 60, 1)) }},
		{"too wide for all", nil, func(c *progressCase) { c.add(true, ofKind("", 24, 17)) }},
		{"as many jobs that have not begun", nil, func(c *progressCase) {
			for range 30 {
				c.add(false, ofKind("b", 1, 1))
			}
		}},
		{"four times as many different needs as a round looks at", nil, func(c *progressCase) {
			for n := range 512 {
				c.add(true, ofKind(fmt.Sprintf("gone-%d", n), 1, 1))
			}
		}},
		{"no more than one task on a server", nil, func(c *progressCase) {
			step := ofKind("", 60, 1)
			step.AntiAffinity = 1
			c.add(true, step)
		}},
	}
	for _, late := range []time.Duration{0, time.Minute} {
		for _, cs := range cases {
			t.Run(fmt.Sprintf("%s, jobs %v old", cs.name, late), func(t *testing.T) {
				c := newProgressCase(append(cs.servers, idle...)...)
				cs.fill(c)
				var could []durable.JobID
				for range 40 {
					could = append(could, c.add(false, tasks(1)))
				}
				c.start()
				c.now = c.now.Add(late)
				c.run(progressTime)
				c.expectOrdered(t, could...)
			})
		}
	}
}

// TestSuspendedPartitionHoldsUpNone guards against jobs that stand still behind those of a partition that
// the coordinator may not act on.
func TestSuspendedPartitionHoldsUpNone(t *testing.T) {
	c := newProgressCase(server{name: "a1", label: "a", cores: 16})
	const suspended = 0
	var could []durable.JobID
	for range 400 {
		if id := c.add(false, tasks(1)); id.Partition(c.cfg.Partitions) != suspended {
			could = append(could, id)
		}
	}
	c.start()
	c.core.Suspend(c.now, suspended, true)
	c.run(progressTime)
	c.expectOrdered(t, could...)
	for id := range c.ordered {
		if id.Partition(c.cfg.Partitions) == suspended {
			t.Fatal("a job of the suspended partition is ordered")
		}
	}
}

// TestRareServerIsFoundAmongMany guards against tasks that stand still since a round looks at a sample of
// the workers, which rarely has the only one that can run them.
func TestRareServerIsFoundAmongMany(t *testing.T) {
	servers := []server{{name: "rare", label: "b", cores: 16}, {name: "wide", label: "a", cores: 64}}
	for n := range 960 {
		servers = append(servers, server{name: fmt.Sprintf("w%d", n), label: "a", cores: 16})
	}
	c := newProgressCase(servers...)
	rare := []durable.JobID{c.add(false, ofKind("b", 1, 1)), c.add(false, ofKind("", 1, 60))}
	c.start()
	c.run(time.Millisecond) // one round
	c.expectOrdered(t, rare...)
}

// TestCapacityIsRequestedOfTheOnlyServer guards against tasks that stand still since the capacity of the
// only server of their kind goes to other coordinators, which request it: our requests listed the first
// few needs, and no server could run those.
func TestCapacityIsRequestedOfTheOnlyServer(t *testing.T) {
	for _, late := range []time.Duration{0, time.Minute} {
		t.Run(fmt.Sprintf("for a job that is %v old", late), func(t *testing.T) { requestOfTheOnlyServer(t, late) })
	}
}

// requestOfTheOnlyServer has the job overdue if it is old; those that no server can run are on time.
func requestOfTheOnlyServer(t *testing.T, late time.Duration) {
	servers := []server{{name: "rare", label: "b", cores: 16, unfree: 16}}
	for n := range 40 {
		servers = append(servers, server{name: fmt.Sprintf("w%d", n), label: "a", cores: 16, unfree: 16})
	}
	c := newProgressCase(servers...)
	for n := range 20 {
		id := c.add(true, ofKind(fmt.Sprintf("gone-%d", n), 1, 1))
		c.stored[id].Submission.Queue.TargetMS = time.Hour.Milliseconds()
	}
	c.add(false, ofKind("b", 1, 1))
	c.start()
	c.now = c.now.Add(late)
	asked := false
	for range 20 {
		for _, s := range c.servers {
			c.report(s)
		}
		c.pass(20 * time.Millisecond)
		for _, s := range c.core.Take(c.now).Sends {
			m, isRequest := s.Message.(*wire.CapacityRequest)
			asked = asked || isRequest && s.Worker == "rare" && len(m.Waits) > 0
		}
	}
	if !asked {
		t.Error("the only server of the kind is asked for nothing")
	}
}

// TestUnmetNeeds guards against a need that nobody is connected to for: one that no connected worker can meet is
// named at once, one whose workers are busy after stallTime, and one that is met is not.
func TestUnmetNeeds(t *testing.T) {
	c := newProgressCase(server{name: "a", label: "a", cores: 16}, server{name: "busy", label: "busy", cores: 16, unfree: 16})
	c.add(false, ofKind("a", 1, 1))
	c.add(false, ofKind("gone", 2, 1))
	c.add(true, ofKind("", 1, 17))
	c.add(false, ofKind("busy", 3, 1))
	c.start()
	names := func() []string {
		var out []string
		for _, n := range c.core.UnmetNeeds(c.now) {
			out = append(out, fmt.Sprint(n.Label, " ", n.Resources.CPU))
		}
		slices.Sort(out)
		return out
	}
	before := c.now
	c.run(100 * time.Millisecond)
	if got, want := names(), []string{" 17000", "gone 1000"}; !slices.Equal(got, want) {
		t.Errorf("unmet at once: %q, want %q", got, want)
	}
	if !c.core.UnmetSince(before) || c.core.UnmetSince(c.now) {
		t.Error("the time at which needs were found unmet is wrong")
	}
	c.run(1200 * time.Millisecond)
	if got, want := names(), []string{" 17000", "busy 1000", "gone 1000"}; !slices.Equal(got, want) {
		t.Errorf("unmet later: %q, want %q", got, want)
	}
	c.servers[1].unfree = 0
	c.run(100 * time.Millisecond)
	if got := names(); len(got) != 2 {
		t.Errorf("unmet after the busy server is free: %q", got)
	}
}

// TestOverdueTasksLeaveWaitingOnesTheirServers guards against a wide task on time that never starts, since
// overdue tasks take each core that comes free on the only server for it.
func TestOverdueTasksLeaveWaitingOnesTheirServers(t *testing.T) {
	c := newProgressCase(server{name: "wide", label: "a", cores: 16, unfree: 8}, server{name: "other", label: "a", cores: 8})
	var overdue []durable.JobID
	for range 4 {
		overdue = append(overdue, c.add(false, tasks(2)))
	}
	wide := ofKind("", 1, 16)
	wide.EstimateMS = 100
	onTime := c.add(false, wide)
	c.stored[onTime].Submission.Queue.TargetMS = time.Hour.Milliseconds()
	c.start()
	c.now = c.now.Add(time.Minute)
	c.run(500 * time.Millisecond)
	for _, id := range overdue {
		if c.ordered[id] == "wide" {
			t.Errorf("overdue job %s is ordered at the server that the wide task waits for", id)
		}
	}
	c.expectOrdered(t, overdue...)
	c.servers[0].unfree = 0
	c.run(100 * time.Millisecond)
	c.expectOrdered(t, onTime)
}
