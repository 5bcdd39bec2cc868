package runtable

import (
	"cmp"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

type runState uint8

const (
	runWaiting   runState = iota // for room
	runStarting                  // ordered; no answer yet
	runRunning                   // the backend server has it
	runStopping                  // a stop is on its way
	runVerifying                 // stopped; the next list tells whether it ran
)

// run is one run of a task here.
type run struct {
	order       wire.RunOrder
	lease       leaseKey // of the owner under whose lease it runs
	state       runState
	due         time.Time // when it should begin
	firstSent   time.Time // to the backend server
	started     time.Time // when the start was answered, or the run adopted
	verifyAfter uint64    // a renewal later than this one decides what became of it
	stop        bool      // stop as soon as the start is answered
	unanswered  bool      // an order had no answer: it may be carried out late
	straggled   bool      // was stopped since it was over its limit
	adopted     bool      // was ordered by an earlier process: order holds no need
}

// age returns how long the run has been running, in milliseconds.
func (r *run) age(now time.Time) int64 {
	if r.started.IsZero() {
		return 0
	}
	return now.Sub(r.started).Milliseconds()
}

// refs returns the runs here, in their order.
func (t *Table) refs() []wire.RunRef {
	return ordered.KeysFunc(t.runs, func(a, b wire.RunRef) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
			cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run))
	})
}

// used returns what the runs here take, apart from those that wait, and what
// those that wait will take.
func (t *Table) used() (running, waiting durable.Resources) {
	for _, r := range t.runs {
		if r.state == runWaiting {
			waiting = waiting.Add(t.needOf(r))
		} else {
			running = running.Add(t.needOf(r))
		}
	}
	return running, waiting
}

// needOf returns what a run takes. That of an adopted one died with the process
// that ordered it. It is guessed from the capacity each time, since the backend
// server may tell its capacity only after the run was adopted.
func (t *Table) needOf(r *run) durable.Resources {
	if r.adopted {
		return durable.Resources{CPU: t.identity.Capacity.CPU / adoptedShare}
	}
	return r.order.Need
}

// free returns what neither runs nor waits take; it may be negative.
func (t *Table) free() durable.Resources {
	running, waiting := t.used()
	return t.identity.Capacity.Sub(running).Sub(waiting)
}

// adoptedShare is the share of the capacity, as a divisor, that a run is
// thought to take whose need died with an earlier process. Chosen, not measured.
const adoptedShare = 10

// adopt takes over what an earlier process here started.
func (t *Table) adopt(now time.Time, running []ListedRun) {
	for _, l := range running {
		if t.runs[l.Ref] != nil {
			continue
		}
		t.runs[l.Ref] = &run{
			order:   wire.RunOrder{Ref: l.Ref},
			adopted: true,
			lease:   t.leaseOfListed(l.Ref),
			state:   runRunning,
			started: now,
		}
		t.note(RunAdopted, l.Ref, "")
	}
}
