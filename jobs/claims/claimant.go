package claims

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/lib/ordered"
	"github.com/lichenfall/lichenfall/wire"
)

// Outcome is the decision about a claim.
type Outcome struct {
	Job durable.JobID
	// Holder is the address of the coordinator that has the job; empty if this one may run it.
	Holder string
	// Confirmed is set if a majority of the job's witnesses has granted the claim.
	Confirmed bool
	Age       time.Duration // of the claim
	// Granted, Denied, Unsure and Silent are the numbers of witnesses by their answers; Silent ones
	// have not answered or could not be asked.
	Granted, Denied, Unsure, Silent int
}

// ToWitness is a message to the witness with that address.
type ToWitness struct {
	Address string
	Message *wire.JobClaims
}

// Effects is what the caller has to carry out.
type Effects struct {
	Sends    []ToWitness
	Outcomes []Outcome
}

// Claimant holds the claims of one coordinator.
type Claimant struct {
	witnesses map[string]*witness // by address
	ordered   []*witness          // all witnesses, by address
	claims    map[durable.JobID]*claim
	undecided map[durable.JobID]*claim
	// usable holds the witnesses that jobs are claimed with, ordered by address.
	usable   []*witness
	outcomes []Outcome
}

// witness is a worker that this coordinator asks.
type witness struct {
	address    string
	dataCentre string
	hash       uint64 // of the address
	connected  bool
	reached    bool // there has been a connection
	changedAt  time.Time
	seq        uint64 // of the newest message on this connection
	sentAt     time.Time
	claims     map[uint64]*claim // by number of the job
	asked      []uint64          // jobs to be named in the next message
	withdrawn  []uint64
	complete   bool // the next message is the first one on the connection
}

// answer is the answer of one witness about one claim.
type answer uint8

const (
	unanswered answer = iota
	granted
	denied
	unsure
)

// claim is the claim of one job.
type claim struct {
	id      durable.JobID
	number  uint64
	since   time.Time
	askedAt time.Time // when it was last asked for, or asked for again
	decided bool
	answers map[*witness]reply // of its witnesses
}

// reply is the newest answer of one witness.
type reply struct {
	answer answer
	holder string // for denied: the address of the coordinator that has the job
	seq    uint64 // of the message that asked; 0 if it is still to be sent
}

// NewClaimant returns a claimant without witnesses.
func NewClaimant() *Claimant {
	return &Claimant{
		witnesses: make(map[string]*witness),
		claims:    make(map[durable.JobID]*claim),
		undecided: make(map[durable.JobID]*claim),
	}
}

// SetPool sets the workers that are witnesses.
func (c *Claimant) SetPool(now time.Time, pool []Worker) {
	left := make(map[string]bool, len(c.witnesses))
	for address := range c.witnesses {
		left[address] = true
	}
	for _, p := range pool {
		delete(left, p.Address)
		if c.witnesses[p.Address] == nil {
			c.witnesses[p.Address] = &witness{
				address: p.Address, dataCentre: p.DataCentre, hash: xxhash.Sum64String(p.Address),
				changedAt: now, claims: make(map[uint64]*claim),
			}
		}
	}
	for address := range left {
		c.forget(c.witnesses[address])
	}
	c.ordered = ordered.Values(c.witnesses)
	c.updateUsable(now)
}

// forget removes a witness that is no longer in the pool.
func (c *Claimant) forget(w *witness) {
	delete(c.witnesses, w.address)
	for _, cl := range w.claims {
		delete(cl.answers, w)
	}
}

// Up records that the connection to a witness has been made. Its first message lists all claims that
// this coordinator has there.
func (c *Claimant) Up(now time.Time, address string) {
	w := c.witnesses[address]
	if w == nil {
		return
	}
	w.connected, w.reached, w.changedAt = true, true, now
	w.seq, w.complete = 0, true
	w.asked, w.withdrawn = ordered.Keys(w.claims), nil
	c.updateUsable(now)
}

// Down records that the connection to a witness is lost, or cannot be made.
func (c *Claimant) Down(now time.Time, address string) {
	w := c.witnesses[address]
	if w == nil || !w.connected {
		return
	}
	w.connected, w.changedAt = false, now
	w.asked, w.withdrawn = nil, nil
	for _, cl := range w.claims {
		if !cl.decided {
			cl.answers[w] = reply{}
		}
	}
}

// Claim claims a job, which then has an Outcome unless Withdraw comes first.
func (c *Claimant) Claim(now time.Time, id durable.JobID) {
	if cl := c.claims[id]; cl != nil {
		if cl.decided {
			c.outcomes = append(c.outcomes, Outcome{Job: id, Confirmed: true})
		}
		return
	}
	cl := &claim{id: id, number: id.Number(), since: now, askedAt: now, answers: make(map[*witness]reply)}
	c.claims[id] = cl
	c.undecided[id] = cl
	c.ask(cl)
	c.decide(now, cl)
}

// ask has the claim's witnesses asked that have not been, and withdraws it from workers that are its
// witnesses no longer.
func (c *Claimant) ask(cl *claim) {
	chosen := choose(cl.number, c.usable)
	isChosen := make(map[*witness]bool, len(chosen))
	for _, w := range chosen {
		isChosen[w] = true
		if _, found := cl.answers[w]; !found {
			cl.answers[w] = reply{}
			w.claims[cl.number] = cl
			w.ask(cl.number)
		}
	}
	for w := range cl.answers {
		if !isChosen[w] {
			delete(cl.answers, w)
			w.withdraw(cl.number)
		}
	}
}

// ask has the next message claim the job. Without a connection the first message on the next one does.
func (w *witness) ask(job uint64) {
	if w.connected {
		w.asked = append(w.asked, job)
	}
}

func (w *witness) withdraw(job uint64) {
	delete(w.claims, job)
	if w.connected && !w.complete {
		w.withdrawn = append(w.withdrawn, job)
	}
}

// Withdraw withdraws the claim of a job that has ended, or will not run here.
func (c *Claimant) Withdraw(id durable.JobID) {
	cl := c.claims[id]
	if cl == nil {
		return
	}
	delete(c.claims, id)
	delete(c.undecided, id)
	for w := range cl.answers {
		w.withdraw(cl.number)
	}
}

// Jobs returns the claimed jobs, in order.
func (c *Claimant) Jobs() []durable.JobID { return ordered.Keys(c.claims) }

// Answered handles the answer of a witness.
func (c *Claimant) Answered(now time.Time, address string, m *wire.JobClaimsReply) {
	w := c.witnesses[address]
	if w == nil {
		return
	}
	deniedBy := make(map[uint64]string, len(m.Denied))
	for _, d := range m.Denied {
		deniedBy[d.Job] = d.Holder
	}
	for _, job := range ordered.Keys(w.claims) {
		cl := w.claims[job]
		r := cl.answers[w]
		if r.seq != m.Seq || r.seq == 0 {
			continue
		}
		r.seq = 0
		holder, isDenied := deniedBy[job]
		switch {
		case isDenied:
			r.answer, r.holder = denied, holder
		case m.Unsure:
			r.answer = unsure
		default:
			r.answer = granted
		}
		cl.answers[w] = r
		c.decide(now, cl)
	}
}

// Stalled records that the coordinator handled nothing for a while: answers that have arrived may
// still be unread.
func (c *Claimant) Stalled(now time.Time) {
	for _, cl := range c.undecided {
		cl.since = now
	}
}

// Tick does what is due by time.
func (c *Claimant) Tick(now time.Time) {
	c.updateUsable(now)
	for _, id := range ordered.Keys(c.undecided) {
		cl := c.undecided[id]
		c.askDenying(now, cl)
		c.decide(now, cl)
	}
}

// askDenying asks the witnesses again that have denied the claim.
func (c *Claimant) askDenying(now time.Time, cl *claim) {
	if now.Sub(cl.askedAt) < askAgainAfter {
		return
	}
	cl.askedAt = now
	for w, r := range cl.answers {
		if r.answer == denied && r.seq == 0 {
			w.ask(cl.number)
		}
	}
}

// updateUsable chooses the witnesses of all claims again if the workers have changed that may be
// witnesses: those that are connected, and those that were lately.
func (c *Claimant) updateUsable(now time.Time) {
	var usable []*witness
	for _, w := range c.ordered {
		if w.connected || now.Sub(w.changedAt) < GoneAfter {
			usable = append(usable, w)
		}
	}
	if slices.Equal(usable, c.usable) {
		return
	}
	c.usable = usable
	for _, id := range ordered.Keys(c.claims) {
		c.ask(c.claims[id])
	}
}

// decide decides about the claim if its answers suffice, or its time is over.
func (c *Claimant) decide(now time.Time, cl *claim) {
	if cl.decided {
		return
	}
	o, expected, holder, most := cl.count(now)
	o.Age = now.Sub(cl.since)
	majority := len(cl.answers)/2 + 1
	switch {
	case o.Granted >= majority && len(cl.answers) > 0:
		o.Confirmed = true
	case most >= majority:
		o.Holder = holder
	case o.Age < answerLimit && (expected > 0 || o.Denied > 0):
		return
	case o.Denied > 0:
		o.Holder = holder
	}
	delete(c.undecided, cl.id)
	cl.decided = true
	c.outcomes = append(c.outcomes, o)
	if o.Holder != "" {
		c.Withdraw(cl.id)
	}
}

// count counts the answers. expected is how many more may come, and most how many witnesses name the
// holder that most of them name.
func (cl *claim) count(now time.Time) (o Outcome, expected int, holder string, most int) {
	o = Outcome{Job: cl.id}
	holders := make(map[string]int)
	for w, r := range cl.answers {
		switch r.answer {
		case granted:
			o.Granted++
		case denied:
			o.Denied++
			holders[r.holder]++
		case unsure:
			o.Unsure++
		default:
			o.Silent++
			if w.mayAnswer(now) {
				expected++
			}
		}
	}
	for _, address := range ordered.Keys(holders) {
		if holders[address] > most {
			holder, most = address, holders[address]
		}
	}
	return o, expected, holder, most
}

// mayAnswer returns whether the witness is connected, or its first connection may be about to be made.
func (w *witness) mayAnswer(now time.Time) bool {
	return w.connected || !w.reached && now.Sub(w.changedAt) < connectLimit
}

// Take returns what has to be done since the last call.
func (c *Claimant) Take(now time.Time) Effects {
	e := Effects{Outcomes: c.outcomes}
	c.outcomes = nil
	for _, w := range c.ordered {
		if m := w.message(now); m != nil {
			e.Sends = append(e.Sends, ToWitness{w.address, m})
		}
	}
	return e
}

// message returns the next message to the witness; nil if none is due.
func (w *witness) message(now time.Time) *wire.JobClaims {
	interval := idleInterval
	if len(w.claims) > 0 {
		interval = RenewInterval
	}
	due := w.complete || len(w.asked) > 0 || len(w.withdrawn) > 0 || now.Sub(w.sentAt) >= interval
	if !w.connected || !due {
		return nil
	}
	w.seq++
	m := &wire.JobClaims{Seq: w.seq, Complete: w.complete, Withdrawn: w.withdrawn}
	for _, job := range w.asked {
		cl := w.claims[job]
		if cl == nil {
			continue // withdrawn since
		}
		m.Claims = append(m.Claims, job)
		r := cl.answers[w]
		r.seq = w.seq
		cl.answers[w] = r
	}
	w.sentAt = now
	w.complete, w.asked, w.withdrawn = false, nil, nil
	return m
}
