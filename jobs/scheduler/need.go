package scheduler

import "github.com/lichenfall/lichenfall/jobs/durable"

// need is what decides where a task can start. Tasks with the same need are alike: where one of them
// can't start now, none of them can.
type need struct {
	resources  durable.Resources
	requires   string        // label of the backend server
	bestEffort bool          // of the job; other tasks need a worker that the store's confirmation covers
	partition  uint32        // of the job, unless it is best-effort
	spread     *durable.Step // the task's step if that limits its tasks on one worker; else nil
	handedBack bool          // by a worker, so that only fresh statuses count
}

// needOf returns the need of the task.
func (c *Core) needOf(t *task) need {
	n := need{resources: t.step.Need, requires: t.step.Requires, bestEffort: t.job.sub.BestEffort, handedBack: t.handedBack}
	if !n.bestEffort {
		n.partition = t.id.Job.Partition(c.cfg.Partitions)
	}
	if t.step.AntiAffinity > 0 {
		n.spread = t.step
	}
	return n
}

// implies returns whether tasks of the other need can't start anywhere if those of this one can't, for
// lack of capacity on the workers that the label and the store's confirmation allow.
func (n *need) implies(o *need) bool {
	return (n.requires == "" || n.requires == o.requires) && (n.bestEffort || !o.bestEffort) && n.resources.Fits(o.resources)
}
