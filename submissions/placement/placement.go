// Package placement is the core that decides which agent gets a task. It knows
// the agents' load from the answers that flow anyway, and corrects it by what
// the entry itself has placed since. It does no I/O.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Agent is what an entry knows of one agent.
type Agent struct {
	ID            string // address
	Pool          string
	DataCentre    string
	Slots         int
	Queue         int  // tasks that may wait there
	Leaving       bool // says so itself; for good
	ListedLeaving bool // the platform's box list says so
	Silent        bool // does not answer
	Outstanding   int  // tasks placed by this entry and not answered

	others int // tasks of other entries, as last reported
	seen   seen
}

// load is the number of tasks per slot once a new one is there, as much
// greater as the agent is held back.
func (a *Agent) load() float64 {
	return float64(a.Outstanding+a.others+1) / float64(max(1, a.Slots)) * max(1, a.seen.factor)
}

// Policy is the setting of the choice.
type Policy struct {
	// Choices is the number of agents drawn at random, of which the least
	// loaded gets the task: 1 is random, 2 the power of two choices. Zero
	// looks at all agents of a pool of up to lookAtAll, and draws drawOfMany
	// of a larger one, so that the work for a task does not grow with it.
	Choices  int
	Outliers OutlierSettings
}

const (
	lookAtAll  = 64 // agents of a pool up to which all are looked at
	drawOfMany = 16 // agents drawn of a larger one; 3.5 us a task at 40 agents, 5.8 us at 960 (docs/measurements/0012)
)

// choices returns how many of n agents are drawn; zero means all.
func (p Policy) choices(n int) int {
	if p.Choices == 0 && n > lookAtAll {
		return drawOfMany
	}
	return p.Choices
}

// Set holds the agents that can be reached. It is not safe for use by several
// goroutines.
type Set struct {
	policy     Policy
	rng        *rand.Rand
	byID       map[string]*Agent
	all        []*Agent
	pools      map[string][]*Agent
	detectedAt time.Time
}

// New returns an empty set. rng makes the random choices.
func New(p Policy, rng *rand.Rand) *Set {
	return &Set{policy: p, rng: rng, byID: make(map[string]*Agent), pools: make(map[string][]*Agent)}
}

// Add takes in a, replacing any agent of the same ID.
func (s *Set) Add(a *Agent) {
	s.Remove(a.ID)
	s.byID[a.ID] = a
	s.all = append(s.all, a)
	s.pools[a.Pool] = append(s.pools[a.Pool], a)
}

// Remove drops the agent.
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

// Agent returns the agent of that ID, or nil.
func (s *Set) Agent(id string) *Agent { return s.byID[id] }

// Pool returns the agents of a pool, which the caller must not change.
func (s *Set) Pool(pool string) []*Agent { return s.pools[pool] }

// UpdateLoad takes an agent's own word on its load.
func (s *Set) UpdateLoad(id string, l wire.Load) {
	a := s.byID[id]
	if a == nil {
		return
	}
	a.others = max(0, int(l.Queued)+int(l.Running)-int(l.Mine))
	a.Leaving = a.Leaving || l.Leaving
}

// EstimatedQueue returns how many tasks are thought to wait at the agent, those counted
// as placed there included.
func (s *Set) EstimatedQueue(id string) int {
	a := s.byID[id]
	if a == nil {
		return 0
	}
	return max(0, a.Outstanding+a.others-a.Slots)
}

// Pick chooses an agent of the pool that is not leaving and not in avoid, and
// counts the task as placed there. It returns nil when there is none.
func (s *Set) Pick(pool string, avoid []string) *Agent {
	agents := s.pools[pool]
	best := s.trickle(agents, avoid)
	if best == nil {
		best = s.draw(agents, avoid)
	}
	if best == nil {
		best = s.scan(agents, avoid)
	}
	if best != nil {
		best.Outstanding++
	}
	return best
}

// Release takes back n tasks counted as placed at the agent.
func (s *Set) Release(id string, n int) {
	if a := s.byID[id]; a != nil {
		a.Outstanding = max(0, a.Outstanding-n)
	}
}

// draw returns the least loaded of a few agents drawn at random; nil when it
// is told to look at all, or drew none that will do.
func (s *Set) draw(agents []*Agent, avoid []string) *Agent {
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

// scan returns the least loaded of all agents, beginning at a random one so
// that ties are spread.
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
