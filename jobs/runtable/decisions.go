package runtable

import "github.com/lichenfall/lichenfall/wire"

// Decision names a line of the log, and the label under which it is counted.
type Decision string

// The decisions of a worker. docs/OPERATIONS.md says what each means on call.
const (
	BackendLost         Decision = "backend_lost"          // its life is over; all its runs with it
	BackendSilent       Decision = "backend_silent"        // it does not answer: no new runs, no renewals
	BackendAnswers      Decision = "backend_answers"       // it answers again
	ReportLate          Decision = "report_late"           // of a life that is over, or overtaken by a later one
	OwnerLeaseEnded     Decision = "owner_lease_ended"     // no heartbeat in time: the owner's runs are stopped
	LeaseLapsing        Decision = "lease_lapsing"         // nothing is renewed until the backend server has ended all
	LeaseLapsed         Decision = "lease_lapsed"          // all that ran is dead for certain
	RunAdopted          Decision = "run_adopted"           // an earlier process here had started it
	RunUnknown          Decision = "run_unknown"           // a fault of ours: the backend server runs it, and we do not know of it; it is stopped
	RunRefused          Decision = "run_refused"           // an order that was not taken
	StartRepeated       Decision = "start_repeated"        // an order to the backend server had no answer
	StartUnanswered     Decision = "start_unanswered"      // still none: the run number is stopped
	StragglerStopped    Decision = "straggler_stopped"     // it ran for longer than its limit
	SpeedKnown          Decision = "speed_known"           // the usual time of runs over their estimates, for the first time in this life
	SpeedChanged        Decision = "speed_changed"         // the same; it is another now
	DataCentreEvacuated Decision = "data_centre_evacuated" // no task is started here
	DataCentreReturned  Decision = "data_centre_returned"  // tasks are started again
	GrantMade           Decision = "grant_made"            // kept for a task of a coordinator that asked
	GrantUsed           Decision = "grant_used"            // orders of it were taken
	GrantLapsed         Decision = "grant_lapsed"          // it said nothing to that, in time
	OwnerDeprioritised  Decision = "owner_set_aside"       // it said nothing several times, and comes last for a while
	runEndPrefix                 = "run_"                  // run_crashed, run_lost, run_lapsed, run_not_run: ends that we decide
	reasonSealed                 = "sealed"                // stopped before it was seen to run, so it never will
	reasonStopping               = "sealing"               // the stop is on its way
	reasonBusy                   = "busy"                  // it does not fit
	reasonGranted                = "granted"               // it would, but the room is granted to others
	reasonSilent                 = "backend_silent"        // the backend server does not answer
	reasonNoAnswer               = "no_answer"             // to one call
	reasonRefused                = "connection_refused"    // nothing listens any more
	reasonLifeOver               = "life_over"             // the backend server has another life now
	reasonOvertaken              = "overtaken"             // a report that was sent later has come before
	suffixAnnounced              = " announced"            // the backend server had said that it would leave
	suffixUnanswered             = " start_unanswered"     // the run may have begun or not
)

// Note is a decision worth a line in the log.
type Note struct {
	What   Decision
	Ref    wire.RunRef // empty where it is about no single run
	Reason string
	Runs   int // how many runs went with it; 0 where it is about one or none
	// Factor is the usual time of runs over their estimates, in percent, and FactorBefore what
	// the log was told last; 0 where there is none.
	Factor, FactorBefore uint32
	// Frequent marks a decision of which there may be many a second in ordinary
	// work, or in one trouble: such lines are sampled.
	Frequent bool
}

func (t *Table) note(what Decision, ref wire.RunRef, reason string) {
	t.effects.Notes = append(t.effects.Notes, Note{What: what, Ref: ref, Reason: reason})
}

func (t *Table) noteFrequent(what Decision, ref wire.RunRef, reason string) {
	t.effects.Notes = append(t.effects.Notes, Note{What: what, Ref: ref, Reason: reason, Frequent: true})
}
