package claim

import (
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// Holder answers claim messages from a table.
type Holder struct {
	*Table
	// Assignment is the digest of the list of holders that this process is
	// configured with; claims made with another list are refused.
	Assignment uint64
}

// Serve returns the reply to a claim or lookup that the entry owner sent.
func (h Holder) Serve(now time.Time, owner Owner, m *wire.Claim) *wire.ClaimReply {
	r := h.decide(now, owner, m)
	return &wire.ClaimReply{
		Seq:              m.Seq,
		Verdict:          uint8(r.Verdict),
		Owner:            r.Owner.Address,
		OwnerIncarnation: r.Owner.Incarnation,
		GrantSeq:         r.Seq,
		Reason:           r.Reason,
	}
}

func (h Holder) decide(now time.Time, owner Owner, m *wire.Claim) Reply {
	switch {
	case m.Assignment != h.Assignment:
		return Reply{Verdict: NotHolder}
	case m.Lookup:
		return h.Lookup(now, m.Submission)
	}
	return h.Claim(now, Request{ID: m.Submission, Digest: string(m.Digest), Owner: owner, Seq: m.Seq})
}
