package capacity

// Size is a system that the costs are worked out for.
type Size struct {
	Workers      int     // boxes with a backend server and an agent
	Entries      int     // our own choice for the size
	StartsPerSec float64 // task starts, at the peak
	TasksPerJob  float64 // our assumption on the mean
	Window       float64 // seconds that claims and past tasks are remembered
	KeepFor      float64 // seconds that answers are kept
}

// LetterOne is the size of the users' first letter. Entries and the mean job
// are ours to assume.
func LetterOne() Size {
	return Size{Workers: 960, Entries: 8, StartsPerSec: 65000, TasksPerJob: 20, Window: 600, KeepFor: 300}
}

// The limits of the letter on what control may cost a node.
const (
	LimitCore   = 0.048 // of a core
	LimitMemory = 64e6  // bytes
	LimitBytes  = 20e3  // bytes a second
)

// JobsPerSec returns the jobs a second of the whole system.
func (s Size) JobsPerSec() float64 { return s.StartsPerSec / s.TasksPerJob }

// TasksPerAgent returns the task starts a second at one agent.
func (s Size) TasksPerAgent() float64 { return s.StartsPerSec / float64(s.Workers) }

// TasksPerEntry returns the task starts a second of one entry.
func (s Size) TasksPerEntry() float64 { return s.StartsPerSec / float64(s.Entries) }
