package runtable

import (
	"fmt"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// unknownStopInterval is the least time between two stops of unknown runs: about what a stop
// takes.
const unknownStopInterval = 50 * time.Millisecond

// whole returns whether the lists have all runs and ends that there were at the backend server, so
// that a run in neither is not there.
func (a *RenewAnswer) whole() bool { return !a.MoreRunning && !a.MoreEnded }

// applyLists applies the lists in the answer to a renewal.
func (t *Table) applyLists(now time.Time, call RenewCall, a *RenewAnswer) {
	running := make(map[wire.RunRef]bool, len(a.Running))
	for _, l := range a.Running {
		running[l.Ref] = true
		if r := t.runs[l.Ref]; r != nil {
			r.listed = true
		}
	}
	if !a.whole() {
		t.noteFrequent(ListsCut, wire.RunRef{}, fmt.Sprintf("running %d, ended %d", len(a.Running), len(a.Ended)))
	}
	t.stopUnknown(now, a.Running)
	for i := range a.Ended {
		t.addEnd(now, &a.Ended[i])
	}
	t.takeOver(now, call, a)
	t.noteProgress(now, call.Seq, a.Running)
	if a.MoreEnded && !a.MoreRunning {
		t.noteUnlistedEnds(now, call.Seq, running)
	}
	if a.whole() {
		t.resolveVerified(now, call.Seq, running)
	}
	t.acknowledgeStored()
}

// takeOver adopts what earlier processes of this worker left, until a whole list has shown all of
// it. From then on what is in neither runs nor ends is not at the backend server.
func (t *Table) takeOver(now time.Time, call RenewCall, a *RenewAnswer) {
	if t.complete {
		return
	}
	t.adopt(now, call, a.Running)
	if !t.synced {
		t.stopInherited()
		t.synced = true
		t.syncedAt = now
	} else if !a.whole() {
		return
	}
	t.complete = a.whole()
	t.reportAll(now)
	t.queueStatuses()
}

// stopUnknown stops best-effort runs that are listed and not in the table: no coordinator waits
// for them, and their tasks may run elsewhere. A delayed list may show a run that has ended
// since; such a run is left alone.
func (t *Table) stopUnknown(now time.Time, running []ListedRun) {
	if !t.synced || now.Sub(t.unknownStoppedAt) < unknownStopInterval {
		return
	}
	for _, l := range running {
		_, ended := t.recentEnds[l.Ref]
		if l.Ref.BestEffort() && t.runs[l.Ref] == nil && !ended {
			t.unknownStoppedAt = now
			t.noteFrequent(RunUnknown, l.Ref, reasonStopping)
			t.addStopCall(l.Ref)
		}
	}
}

// noteUnlistedEnds marks the runs that have ended according to a list of running ones, although
// their ends are not listed yet: the backend server lists only the first ends until these are
// acknowledged. It had accepted the runs before the list was requested, and they do not run any more.
func (t *Table) noteUnlistedEnds(now time.Time, seq uint64, running map[wire.RunRef]bool) {
	for ref, r := range t.runs {
		if r.started.IsZero() || seq <= r.startedSeq || running[ref] || r.over() || r.state == runInherited {
			continue
		}
		r.overAt = now
		t.noteFrequent(EndUnlisted, ref, "")
		t.announceFreed()
	}
}

// endUnlisted ends the runs that are over, when their ends will not be listed any more. They have
// neither crashed the backend server nor can the next incarnation have them.
func (t *Table) endUnlisted(now time.Time) {
	for _, ref := range t.refsWhere((*run).over) {
		t.endRun(now, t.runs[ref], wire.EndLost, reasonUnlisted)
		delete(t.runs, ref)
	}
}
