package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/lichenfall/lichenfall/jobs/subset"
)

// choiceWidened is the log message and metric label of workers that are connected to since no chosen worker
// can start some tasks.
const choiceWidened = "choice_widened"

// widenChoice adds to the chosen workers some that can run what no chosen one can.
func (c *Coordinator) widenChoice(now time.Time, workers []subset.Worker, chosen map[string]bool) {
	needs := c.unmetNeeds(now)
	fresh := c.widening.Apply(now, c.peers.Advertised(), workers, chosen, needs, c.core.OrderedAt)
	if fresh == 0 {
		return
	}
	c.metrics.Decision(choiceWidened)
	c.log.Info(choiceWidened, zap.Int("needs", len(needs)), zap.String("label", needs[0].Label),
		zap.Int64("cpu", needs[0].Resources.CPU), zap.Int("workers", fresh), zap.Int("widened", c.widening.Len()))
}

// unmetNeeds returns the needs that no chosen worker meets.
func (c *Coordinator) unmetNeeds(now time.Time) []subset.Need {
	var out []subset.Need
	for _, n := range c.core.UnmetNeeds(now) {
		out = append(out, subset.Need{Service: n.Service, Label: n.Label, Resources: n.Resources})
	}
	return out
}
