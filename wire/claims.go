package wire

//go:generate go tool msgp -io=false -tests=false -file claims.go -o claims_gen.go
//msgp:tuple Claim ClaimReply Fetch Fetched

// Claim asks the agent that holds the claim on a submission ID whether the sender may start the
// submission.
type Claim struct {
	Seq        uint64 // echoed in the reply
	Submission string
	Digest     []byte // of the submission's content
	// Assignment is the digest of the sender's list of claim holders.
	Assignment uint64
	// Lookup asks only which entry owns the ID, without claiming it.
	Lookup bool
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	Seq              uint64
	Verdict          uint8 // a claim.Verdict
	Owner            string
	OwnerIncarnation string
	GrantSeq         uint64 // the owner's Seq of the claim that was granted
	Reason           string
}

// Fetch asks the entry that owns a submission for its answer. The entry replies when the job has
// ended.
type Fetch struct {
	Seq         uint64
	Submission  string
	Digest      []byte
	Incarnation string // of the entry asked; a process started later does not have the answer
	GrantSeq    uint64 // Seq of the Claim by which that entry was granted the ID
	Lookup      bool   // reply at once with the present state, whatever the digest
}

// Fetched answers a Fetch.
type Fetched struct {
	Seq    uint64
	Found  bool
	Answer []byte // JSON of a job.Answer, when Found
}
