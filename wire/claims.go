package wire

//go:generate go tool msgp -io=false -tests=false -file claims.go -o claims_gen.go
//msgp:tuple Claim ClaimReply Fetch Fetched

// Claim asks the holder of a submission ID whether the sender may start it.
type Claim struct {
	Seq        uint64 // echoed in the reply
	Submission string
	Digest     []byte // of the content
	// Assignment is the digest of the list of holders that the sender goes by.
	Assignment uint64
	// Lookup asks only who holds the ID and claims nothing.
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

// Fetch asks the entry that owns a submission for its answer, which comes when
// the job has ended.
type Fetch struct {
	Seq         uint64
	Submission  string
	Digest      []byte
	Incarnation string // of the entry asked; another one cannot know
	GrantSeq    uint64 // of the claim by which that entry was granted the ID
	Lookup      bool   // answer at once with the state, whatever the digest
}

// Fetched answers a Fetch.
type Fetched struct {
	Seq    uint64
	Found  bool
	Answer []byte // JSON of a job.Answer, when Found
}
