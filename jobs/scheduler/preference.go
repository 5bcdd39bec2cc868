package scheduler

// Preference says whether new tasks go to a worker. Other coordinators prefer other workers, so a
// coordinator knows best how much capacity is free on the workers that it prefers.
type Preference uint8

// The preferences.
const (
	Neutral   Preference = iota // the worker gets tasks by its score, from any coordinator
	Preferred                   // tasks go here first
	Excluded                    // the worker gets no new tasks; its runs continue
)

// SetPreference sets the preference for a worker, which is Neutral at first.
func (c *Core) SetPreference(name string, p Preference) {
	w := c.workers[name]
	if w == nil || w.preference == p {
		return
	}
	w.preference = p
	c.updateEligible(w)
}
