package capacity

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// The marks between which a page's tables are rewritten.
const (
	beginMark = "<!-- capacity: measured tables begin -->"
	endMark   = "<!-- capacity: measured tables end -->"
)

// Rewrite returns the page with its tables made from the results.
func Rewrite(page []byte, s Size, r *Results) ([]byte, error) {
	head, rest, ok := bytes.Cut(page, []byte(beginMark))
	_, tail, ok2 := bytes.Cut(rest, []byte(endMark))
	if !ok || !ok2 {
		return nil, errs.New("the page lacks the marks %q and %q", beginMark, endMark)
	}
	var b bytes.Buffer
	b.Write(head)
	fmt.Fprintf(&b, "%s\n\nMeasured by `make capacity` on %s.\n\n%s\n%s\n%s%s", beginMark, r.Machine, slopes(r), roles(s, r), endMark, tail)
	return b.Bytes(), nil
}

func slopes(r *Results) string {
	var b strings.Builder
	b.WriteString("### Slopes\n\n| what | one unit costs | measured from-to | residual | how |\n| --- | --- | --- | --- | --- |\n")
	row := func(what string, s Slope, unit string, factor float64, how string) {
		fmt.Fprintf(&b, "| %s | %.4g %s | %.0f-%.0f | %.1f %% | %s |\n", what, s.Per*factor, unit, s.Low, s.High, 100*s.Residual, how)
	}
	row("claim remembered by an agent", r.Claim, "B", 1, "heap of `claim.Table`")
	row("past task remembered by an agent", r.PastTask, "B", 1, "heap of `queue.Queue`")
	row("task through an agent's core", r.AgentTask, "us", 1e6, "`queue.Queue` driven without I/O")
	row("task through an entry's core, 40 agents", r.EntryTask40, "us", 1e6, "`dispatch.Core` driven without I/O, jobs of 20")
	row("task through an entry's core, 960 agents", r.EntryTask, "us", 1e6, "the same; 16 agents drawn for each task")
	row("unfinished task at an entry", r.Running, "B", 1, "heap of `dispatch.Core`, payloads of 64 B")
	row("answer of 20 tasks kept by an entry", r.Kept, "B", 1, "the same, results of 64 B")
	row("idle agent, cores, with 2 entries", r.IdleCores, "us/s", 1e6, "one process; agent, stand-in and both entries' share")
	row("idle agent, memory, with 2 entries", r.IdleBytes, "B", 1, "the same; heap")
	row("task through a whole system", r.BusyTask, "us", 1e6, "one process; callers, entries, agents, stand-ins, HTTP")
	fmt.Fprintf(&b, "\nFrames without payload: claim and reply %.0f B a job, place %.0f B for one task, results %.0f B for one task.\n",
		r.ClaimBytes, r.PlaceBytes, r.ResultBytes)
	return b.String()
}

// roles works out what each role costs at the size.
func roles(s Size, r *Results) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### At %d workers, %.0f starts/s, %d entries, %.0f tasks a job\n\n", s.Workers, s.StartsPerSec, s.Entries, s.TasksPerJob)
	b.WriteString("| role | figure | worked out as | at that size | limit | |\n| --- | --- | --- | --- | --- | --- |\n")
	row := func(role, what, how string, v, limit float64, format string) {
		mark := "within"
		if v > limit {
			mark = "**past the limit**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | "+format+" | "+format+" | %s |\n", role, what, how, v, limit, mark)
	}
	jobsHere := s.JobsPerSec() / float64(s.Workers)
	agentMemory := r.Claim.Per*jobsHere*s.Window + r.PastTask.Per*s.TasksPerAgent()*s.Window
	agentCPU := r.AgentTask.Per*s.TasksPerAgent() + r.IdleCores.Per
	agentBytes := jobsHere*r.ClaimBytes + s.TasksPerAgent()*(r.PlaceBytes+r.ResultBytes)
	row("agent", "claims and past tasks, MB", "claims/s and starts/s here x window x slope", agentMemory/1e6, LimitMemory/1e6, "%.2f")
	row("agent", "core, idle and tasks, % of a core", "starts/s here x slope + idle slope", 100*agentCPU, 100*LimitCore, "%.2f")
	row("agent", "bytes for control, KB/s", "claims and frames round payloads, one task a frame", agentBytes/1e3, LimitBytes/1e3, "%.2f")
	row("agent", "bytes for control when idle, KB/s", "nothing is sent to idle agents", 0, LimitBytes/1e3, "%.2f")
	entryCPU := r.EntryTask.Per * s.TasksPerEntry()
	entryMemory := r.Running.Per*s.TasksPerEntry()*0.5 + r.Kept.Per*s.JobsPerSec()/float64(s.Entries)*s.KeepFor
	row("entry", "core, % of a core", "starts/s here x slope at 960 agents", 100*entryCPU, 100*LimitCore, "%.1f")
	row("entry", "unfinished tasks (0.5 s each) and all answers of 5 min, MB", "slopes; `claims.answers` and `claims.bytes` bound it", entryMemory/1e6, LimitMemory/1e6, "%.0f")
	row("entry", "bytes for control, KB/s", "claims and frames round payloads", s.TasksPerEntry()*(r.ClaimBytes/s.TasksPerJob+r.PlaceBytes+r.ResultBytes)/1e3, LimitBytes/1e3, "%.0f")
	row("entry", "whole path on one box, cores", "starts/s here x slope of a whole system: an upper bound", r.BusyTask.Per*s.TasksPerEntry(), 8, "%.1f")
	return b.String()
}
