package runtable

import "github.com/lichenfall/lichenfall/wire"

// Decision is the message of a log line and the label under which it is counted.
type Decision string

// The decisions of a worker. docs/OPERATIONS.md says what each means to operators.
const (
	BackendLost         Decision = "backend_lost"          // the incarnation is over, with all its runs
	BackendSilent       Decision = "backend_silent"        // it does not answer: no new runs, no renewals
	BackendAnswers      Decision = "backend_answers"       // it answers again
	ReportLate          Decision = "report_late"           // of a past incarnation, or older than the last one
	ReportOther         Decision = "report_other"          // names another service than the backend server's: by another writer
	ServiceCorrected    Decision = "service_corrected"     // the configuration names the other service, and not the one before
	OwnerLeaseEnded     Decision = "owner_lease_ended"     // no heartbeat in time: the owner's runs are stopped
	LeaseLapsing        Decision = "lease_lapsing"         // no renewals until the backend server has ended all
	LeaseLapsed         Decision = "lease_lapsed"          // all runs are certainly over
	RunAdopted          Decision = "run_adopted"           // an earlier process of this worker started it
	RunUnknown          Decision = "run_unknown"           // a bug: listed as running but not in the table; stopped
	RunRefused          Decision = "run_refused"           // an order was handed back
	ListsCut            Decision = "lists_cut"             // the lists may lack runs or ends: nothing follows from that
	EndUnlisted         Decision = "end_unlisted"          // it has ended; how is not listed yet
	StartRepeated       Decision = "start_repeated"        // an order had no answer and is sent again
	StartUnanswered     Decision = "start_unanswered"      // still no answer: the run is stopped
	StragglerStopped    Decision = "straggler_stopped"     // it exceeds its limit
	SpeedKnown          Decision = "speed_known"           // the baseline is measured, first in this incarnation
	SpeedChanged        Decision = "speed_changed"         // the baseline has changed
	DataCentreEvacuated Decision = "data_centre_evacuated" // no task is started here
	DataCentreReturned  Decision = "data_centre_returned"  // tasks are started again
	GrantMade           Decision = "grant_made"            // capacity is reserved for a coordinator's task
	GrantUsed           Decision = "grant_used"            // the coordinator's orders were taken
	GrantLapsed         Decision = "grant_lapsed"          // the coordinator did not answer it in time
	OwnerDeprioritised  Decision = "owner_set_aside"       // it left several grants unanswered; served last for a while
	// runEndPrefix and the name of a wire.End make run_crashed, run_lost, run_lapsed and
	// run_not_run: the ends that the worker decides.
	runEndPrefix          = "run_"
	reasonSealed          = "sealed"             // stopped before it was seen to run; cannot start
	reasonStopping        = "sealing"            // the stop is on its way
	reasonBusy            = "busy"               // it does not fit
	reasonGranted         = "granted"            // the capacity is granted to others
	reasonStaleView       = "stale_view"         // decided before the coordinator knew of the identity in force
	reasonSilent          = "backend_silent"     // the backend server does not answer
	reasonNoAnswer        = "no_answer"          // one call had no answer
	reasonRefused         = "connection_refused" // nothing listens at the address any more
	reasonUnlisted        = "end_unlisted"       // it had ended; how is lost with the backend server
	reasonIncarnationOver = "life_over"          // another incarnation is in force now
	reasonOvertaken       = "overtaken"          // a later report has arrived before
	suffixAnnounced       = " announced"         // the backend server had announced its end
	suffixUnanswered      = " start_unanswered"  // the run may or may not have started
)

// Note is a decision to be logged and counted.
type Note struct {
	What   Decision
	Ref    wire.RunRef // empty if it concerns no single run
	Reason string
	Runs   int // number of runs lost; 0 if it concerns one or none
	// Factor is the baseline, the usual time of runs over their estimates, in percent.
	// FactorBefore is the one that was logged last. Both are 0 if there is none.
	Factor, FactorBefore uint32
	// Frequent marks decisions that may occur many times a second, in ordinary work or in a
	// fault. Their log lines are sampled.
	Frequent bool
}

func (t *Table) note(what Decision, ref wire.RunRef, reason string) {
	t.effects.Notes = append(t.effects.Notes, Note{What: what, Ref: ref, Reason: reason})
}

func (t *Table) noteFrequent(what Decision, ref wire.RunRef, reason string) {
	t.effects.Notes = append(t.effects.Notes, Note{What: what, Ref: ref, Reason: reason, Frequent: true})
}
