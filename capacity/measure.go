package capacity

import (
	"context"
	"fmt"
	"runtime"
)

// Results is all that was measured.
type Results struct {
	Machine     string
	Claim       Slope // bytes for each claim that an agent remembers
	PastTask    Slope // bytes for each past task that an agent remembers
	AgentTask   Slope // seconds of an agent's core for each task
	EntryTask   Slope // seconds of an entry's core for each task, with all agents
	EntryTask40 Slope // the same with 40 agents
	Running     Slope // bytes for each running task at an entry
	Kept        Slope // bytes for each answer that an entry keeps
	IdleCores   Slope // cores of an idle system with 2 entries, for each agent
	IdleBytes   Slope // bytes of the same
	BusyTask    Slope // seconds for each task of a whole system in one process
	ClaimBytes  float64
	PlaceBytes  float64
	ResultBytes float64
}

// idleAgents are the numbers of agents that an idle system is measured with.
var idleAgents = []int{11, 40, 120, 240}

var busyRates = []float64{10, 30, 60}

// Measure measures everything, telling progress what comes next.
func Measure(ctx context.Context, size Size, progress func(string)) (*Results, error) {
	r := &Results{Machine: fmt.Sprintf("%d cores, %s", runtime.NumCPU(), runtime.Version())}
	progress("memory of claims and tasks")
	r.Claim = claimMemory()
	r.PastTask = pastTaskMemory()
	r.Running = runningMemory()
	r.Kept = keptMemory()
	progress("processor time of the cores")
	r.AgentTask = agentCore()
	r.EntryTask = entryCore(size.Workers)
	r.EntryTask40 = entryCore(40)
	r.ClaimBytes, r.PlaceBytes, r.ResultBytes = messageBytes()
	progress("a whole system at work")
	var err error
	if r.BusyTask, err = busy(ctx, idleAgents[1], busyRates); err != nil {
		return nil, err
	}
	progress("an idle system, up to 240 agents")
	r.IdleCores, r.IdleBytes, err = idle(ctx, 2, idleAgents)
	return r, err
}
