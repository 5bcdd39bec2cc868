// Package placement is the core that decides which agent gets a task. It owns an
// entry's view of the agents. It relies on the load that agents report with
// their results, and corrects it by the tasks that this entry has placed since.
// It does no I/O.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Agent is the state of one agent as this entry knows it.
type Agent struct {
	ID            string // address
	Pool          string
	DataCentre    string
	Slots         int
	Queue         int  // limit on the tasks that wait there
	Leaving       bool // announced by the agent; final
	ListedLeaving bool // the platform's box list has it as leaving
	Silent        bool // misses timeouts; see package dispatch
	Outstanding   int  // tasks placed by this entry without a result

	others int // tasks placed by other entries, as last reported
	stats  taskStats
}

// load returns the number of tasks per slot if one more is placed at the agent,
// multiplied by the factor of an outlier.
func (a *Agent) load() float64 {
	return float64(a.Outstanding+a.others+1) / float64(max(1, a.Slots)) * max(1, a.stats.factor)
}

// Policy holds the settings by which agents are chosen.
type Policy struct {
	// Choices is the number of agents drawn at random, of which the least loaded
	// gets the task: 1 is random, 2 is the power of two choices. Zero compares
	// all agents of a pool of up to maxScan agents, and draws sampleSize agents of
	// a larger pool, so that the cost of a task does not grow with the pool.
	Choices  int
	Outliers OutlierSettings
}

const (
	maxScan    = 64 // size of a pool up to which all its agents are compared
	sampleSize = 16 // agents drawn of a larger pool; 3.5 us a task at 40 agents, 5.8 us at 960 (docs/measurements/0012)
)

// choices returns how many of n agents are drawn; zero compares all.
func (p Policy) choices(n int) int {
	if p.Choices == 0 && n > maxScan {
		return sampleSize
	}
	return p.Choices
}

// Set holds the connected agents. It is not safe for concurrent use.
type Set struct {
	policy     Policy
	rng        *rand.Rand
	byID       map[string]*Agent
	all        []*Agent
	pools      map[string][]*Agent
	detectedAt time.Time
}

// New returns an empty set; rng is the source of its random choices.
func New(p Policy, rng *rand.Rand) *Set {
	return &Set{policy: p, rng: rng, byID: make(map[string]*Agent), pools: make(map[string][]*Agent)}
}

// Add adds a, replacing any agent of the same ID.
func (s *Set) Add(a *Agent) {
	s.Remove(a.ID)
	s.byID[a.ID] = a
	s.all = append(s.all, a)
	s.pools[a.Pool] = append(s.pools[a.Pool], a)
}

// Remove removes the agent, if the set has it.
func (s *Set) Remove(id string) {
	a := s.byID[id]
	if a == nil {
		return
	}
	delete(s.byID, id)
	s.all = without(s.all, a)
	s.pools[a.Pool] = without(s.pools[a.Pool], a)
	if len(s.pools[a.Pool]) == 0 {
		delete(s.pools, a.Pool)
	}
}

func without(list []*Agent, a *Agent) []*Agent {
	if i := slices.Index(list, a); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// All returns all agents, which the caller must not change.
func (s *Set) All() []*Agent { return s.all }

// Agent returns the agent with the ID, or nil.
func (s *Set) Agent(id string) *Agent { return s.byID[id] }

// Pool returns the agents of a pool, which the caller must not change.
func (s *Set) Pool(pool string) []*Agent { return s.pools[pool] }

// UpdateLoad records the load that an agent reported.
func (s *Set) UpdateLoad(id string, l wire.Load) {
	a := s.byID[id]
	if a == nil {
		return
	}
	a.others = max(0, int(l.Queued)+int(l.Running)-int(l.Mine))
	a.Leaving = a.Leaving || l.Leaving
}

// EstimatedQueue returns the estimated number of tasks that wait for a slot at
// the agent, the outstanding ones of this entry included.
func (s *Set) EstimatedQueue(id string) int {
	a := s.byID[id]
	if a == nil {
		return 0
	}
	return max(0, a.Outstanding+a.others-a.Slots)
}

// Pick chooses an agent of the pool that is not leaving, not silent and not in
// avoid, and counts a task as outstanding there. It returns nil if there is none.
func (s *Set) Pick(pool string, avoid []string) *Agent {
	agents := s.pools[pool]
	best := s.pickOutlier(agents, avoid)
	if best == nil {
		best = s.sample(agents, avoid)
	}
	if best == nil {
		best = s.scan(agents, avoid)
	}
	if best != nil {
		best.Outstanding++
	}
	return best
}

// Release subtracts n tasks from the outstanding ones of the agent.
func (s *Set) Release(id string, n int) {
	if a := s.byID[id]; a != nil {
		a.Outstanding = max(0, a.Outstanding-n)
	}
}

// sample returns the least loaded of a few agents drawn at random. It returns nil
// if the policy compares all agents, or if none of those drawn is usable.
func (s *Set) sample(agents []*Agent, avoid []string) *Agent {
	n := s.policy.choices(len(agents))
	if n == 0 || len(agents) == 0 {
		return nil
	}
	var best *Agent
	for range n {
		a := agents[s.rng.IntN(len(agents))]
		if usable(a, avoid) && (best == nil || a.load() < best.load()) {
			best = a
		}
	}
	return best
}

// scan returns the least loaded of all usable agents. It starts at a random one,
// so that equally loaded agents are chosen equally often.
func (s *Set) scan(agents []*Agent, avoid []string) *Agent {
	if len(agents) == 0 {
		return nil
	}
	var best *Agent
	first := s.rng.IntN(len(agents))
	for i := range agents {
		a := agents[(first+i)%len(agents)]
		if usable(a, avoid) && (best == nil || a.load() < best.load()) {
			best = a
		}
	}
	return best
}

func usable(a *Agent, avoid []string) bool {
	if a.Leaving || a.ListedLeaving || a.Silent {
		return false
	}
	return !slices.Contains(avoid, a.ID)
}
