package scheduler

// Preference says whether new tasks go to a worker.
type Preference uint8

// The preferences.
const (
	Neutral   Preference = iota // as other coordinators may: where there is more room
	Preferred                   // first of all: others prefer other workers, so that we know best what is free there
	Excluded                    // none; what it has goes on
)

// SetPreference tells the core of its preference for a worker, which is Shared at
// first.
func (c *Core) SetPreference(name string, p Preference) {
	w := c.workers[name]
	if w == nil || w.preference == p {
		return
	}
	w.preference = p
	c.updateEligible(w)
}
