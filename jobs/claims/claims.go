// Package claims keeps two coordinators from running one best-effort job at the same time, when its
// caller has sent it to both.
//
// Before a coordinator orders the first run of a job, it claims the job's ID with a few workers, the
// witnesses of the ID, which every coordinator chooses alike (choice.go). A witness grants an ID to one
// coordinator at a time. A majority of grants is needed, so of two coordinators that both reach a
// majority of the witnesses one gets it and the other one learns who has the job, also where the two
// are cut from each other or the first one is dead. A claim lasts until it is withdrawn at the end of
// the job's last run, or until the witness has heard nothing of the coordinator for so long that its
// runs have ended.
//
// A witness that has just started may have forgotten claims and grants nothing for as long. Where too
// few witnesses grant or deny, a coordinator goes by the announcements alone (package dedup), as it
// would without claims: it refuses no job because witnesses cannot be reached.
//
// The package owns a coordinator's claims (Claimant) and the claims that a worker has granted (Witness).
// It relies on its caller for the time and for carrying messages over one connection at a time, in
// order. It does no I/O and reads no clock.
package claims

import "time"

const (
	// RenewInterval is the longest time between two messages of a coordinator to a witness with
	// which it has claims.
	RenewInterval = 500 * time.Millisecond
	// idleInterval is the longest time between two messages to any other witness. It keeps the
	// connection from being closed as silent.
	idleInterval = 2 * time.Second
	// answerLimit is how long a job waits for the answers of witnesses. It is many times the delay
	// between regions, and short compared with the time that callers wait.
	answerLimit = 150 * time.Millisecond
	// connectLimit is how long a job waits for the first connection to a witness, counted from when
	// that became known: several times as long as it takes to a worker that is there.
	connectLimit = 30 * time.Millisecond
	// askAgainAfter is the pause before a witness is asked again that has denied a claim which no
	// majority has decided: the other coordinator may be about to withdraw its claim.
	askAgainAfter = 25 * time.Millisecond
	// GoneAfter is how long a witness without a connection still counts as a witness.
	GoneAfter = 2 * time.Second
)

// Lease returns how long a witness keeps the claims of a coordinator of which it hears nothing more.
// runsEndWithin is the time by which all runs of a coordinator have ended that has been lost.
func Lease(runsEndWithin time.Duration) time.Duration { return RenewInterval + runsEndWithin }
