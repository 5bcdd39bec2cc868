package wire

// Kind is the byte that identifies a message's type on the wire. The number of a message that was
// removed is not reused.
type Kind uint8

// The kinds of message.
const (
	KindHello           Kind = 1
	KindPlace           Kind = 2
	KindCancel          Kind = 3
	KindResults         Kind = 4
	KindClaim           Kind = 5
	KindClaimReply      Kind = 6
	KindFetch           Kind = 7
	KindFetched         Kind = 8
	KindPing            Kind = 9
	KindLeaveAck        Kind = 10
	KindOwnerHeartbeat  Kind = 11
	KindWorkerStatus    Kind = 12
	KindStartRuns       Kind = 13
	KindStopRuns        Kind = 14
	KindRunEnds         Kind = 15
	KindEndsKept        Kind = 16
	KindPartitionRuns   Kind = 17
	KindJobCall         Kind = 18
	KindJobReply        Kind = 19
	KindQueueCounts     Kind = 20
	KindHandOver        Kind = 21
	KindRunsQuery       Kind = 22
	KindRunNeeds        Kind = 23
	KindKeepAlive       Kind = 24
	KindKeepAliveAck    Kind = 25
	KindCrashReport     Kind = 26
	KindRecordedBackend Kind = 27
	KindCapacityRequest Kind = 28
	KindJobClaims       Kind = 29
	KindJobClaimsReply  Kind = 30
	KindReportPending   Kind = 31
	KindEndTerms        Kind = 32
	KindTermsEnded      Kind = 33
)

// kindInfo holds the name and the constructor of a kind of message.
type kindInfo struct {
	name string         // in metric labels; independent of the name of the Go type
	new  func() Message // returns an empty message to decode into
}

// kinds is indexed by Kind; number 0 is not used.
var kinds = [...]kindInfo{
	KindHello:           {"hello", func() Message { return &Hello{} }},
	KindPlace:           {"place", func() Message { return &Place{} }},
	KindCancel:          {"cancel", func() Message { return &Cancel{} }},
	KindResults:         {"results", func() Message { return &Results{} }},
	KindClaim:           {"claim", func() Message { return &Claim{} }},
	KindClaimReply:      {"claim_reply", func() Message { return &ClaimReply{} }},
	KindFetch:           {"fetch", func() Message { return &Fetch{} }},
	KindFetched:         {"fetched", func() Message { return &Fetched{} }},
	KindPing:            {"ping", func() Message { return &Ping{} }},
	KindLeaveAck:        {"leave_ack", func() Message { return &LeaveAck{} }},
	KindOwnerHeartbeat:  {"owner_heartbeat", func() Message { return &OwnerHeartbeat{} }},
	KindWorkerStatus:    {"worker_status", func() Message { return &WorkerStatus{} }},
	KindStartRuns:       {"start_runs", func() Message { return &StartRuns{} }},
	KindStopRuns:        {"stop_runs", func() Message { return &StopRuns{} }},
	KindRunEnds:         {"run_ends", func() Message { return &RunEnds{} }},
	KindEndsKept:        {"ends_kept", func() Message { return &EndsKept{} }},
	KindPartitionRuns:   {"partition_runs", func() Message { return &PartitionRuns{} }},
	KindJobCall:         {"job_call", func() Message { return &JobCall{} }},
	KindJobReply:        {"job_reply", func() Message { return &JobReply{} }},
	KindQueueCounts:     {"queue_counts", func() Message { return &QueueCounts{} }},
	KindHandOver:        {"hand_over", func() Message { return &HandOver{} }},
	KindRunsQuery:       {"claim_runs", func() Message { return &RunsQuery{} }},
	KindRunNeeds:        {"run_needs", func() Message { return &RunNeeds{} }},
	KindKeepAlive:       {"keep_alive", func() Message { return &KeepAlive{} }},
	KindKeepAliveAck:    {"keep_alive_ack", func() Message { return &KeepAliveAck{} }},
	KindCrashReport:     {"crash_news", func() Message { return &CrashReport{} }},
	KindRecordedBackend: {"recorded_backend", func() Message { return &RecordedBackend{} }},
	KindCapacityRequest: {"room_ask", func() Message { return &CapacityRequest{} }},
	KindJobClaims:       {"job_claims", func() Message { return &JobClaims{} }},
	KindJobClaimsReply:  {"job_claims_reply", func() Message { return &JobClaimsReply{} }},
	KindReportPending:   {"report_pending", func() Message { return &ReportPending{} }},
	KindEndTerms:        {"end_terms", func() Message { return &EndTerms{} }},
	KindTermsEnded:      {"terms_ended", func() Message { return &TermsEnded{} }},
}

// String returns the kind's name, as used in metric labels.
func (k Kind) String() string {
	if !k.known() {
		return "unknown"
	}
	return kinds[k].name
}

// Kinds returns all kinds of message in ascending order of their numbers.
func Kinds() []Kind {
	var out []Kind
	for k := range Kind(len(kinds)) {
		if k.known() {
			out = append(out, k)
		}
	}
	return out
}

func (k Kind) known() bool { return int(k) < len(kinds) && kinds[k].new != nil }

// newMessage returns an empty message of the kind, or nil if the kind is unknown.
func newMessage(k Kind) Message {
	if !k.known() {
		return nil
	}
	return kinds[k].new()
}

// Message is the content of a frame.
type Message interface {
	WireKind() Kind
	MarshalMsg(b []byte) ([]byte, error)
	UnmarshalMsg(b []byte) ([]byte, error)
}

// WireKind returns KindHello.
func (*Hello) WireKind() Kind { return KindHello }

// WireKind returns KindPlace.
func (*Place) WireKind() Kind { return KindPlace }

// WireKind returns KindCancel.
func (*Cancel) WireKind() Kind { return KindCancel }

// WireKind returns KindResults.
func (*Results) WireKind() Kind { return KindResults }

// WireKind returns KindClaim.
func (*Claim) WireKind() Kind { return KindClaim }

// WireKind returns KindClaimReply.
func (*ClaimReply) WireKind() Kind { return KindClaimReply }

// WireKind returns KindFetch.
func (*Fetch) WireKind() Kind { return KindFetch }

// WireKind returns KindFetched.
func (*Fetched) WireKind() Kind { return KindFetched }

// WireKind returns KindPing.
func (*Ping) WireKind() Kind { return KindPing }

// WireKind returns KindLeaveAck.
func (*LeaveAck) WireKind() Kind { return KindLeaveAck }

// WireKind returns KindOwnerHeartbeat.
func (*OwnerHeartbeat) WireKind() Kind { return KindOwnerHeartbeat }

// WireKind returns KindWorkerStatus.
func (*WorkerStatus) WireKind() Kind { return KindWorkerStatus }

// WireKind returns KindStartRuns.
func (*StartRuns) WireKind() Kind { return KindStartRuns }

// WireKind returns KindStopRuns.
func (*StopRuns) WireKind() Kind { return KindStopRuns }

// WireKind returns KindRunEnds.
func (*RunEnds) WireKind() Kind { return KindRunEnds }

// WireKind returns KindEndsKept.
func (*EndsKept) WireKind() Kind { return KindEndsKept }

// WireKind returns KindPartitionRuns.
func (*PartitionRuns) WireKind() Kind { return KindPartitionRuns }

// WireKind returns KindJobCall.
func (*JobCall) WireKind() Kind { return KindJobCall }

// WireKind returns KindJobReply.
func (*JobReply) WireKind() Kind { return KindJobReply }

// WireKind returns KindQueueCounts.
func (*QueueCounts) WireKind() Kind { return KindQueueCounts }

// WireKind returns KindHandOver.
func (*HandOver) WireKind() Kind { return KindHandOver }

// WireKind returns KindRunsQuery.
func (*RunsQuery) WireKind() Kind { return KindRunsQuery }

// WireKind returns KindRunNeeds.
func (*RunNeeds) WireKind() Kind { return KindRunNeeds }

// WireKind returns KindKeepAlive.
func (*KeepAlive) WireKind() Kind { return KindKeepAlive }

// WireKind returns KindKeepAliveAck.
func (*KeepAliveAck) WireKind() Kind { return KindKeepAliveAck }

// WireKind returns KindRecordedBackend.
func (*RecordedBackend) WireKind() Kind { return KindRecordedBackend }

// WireKind returns KindCrashReport.
func (*CrashReport) WireKind() Kind { return KindCrashReport }

// WireKind returns KindCapacityRequest.
func (*CapacityRequest) WireKind() Kind { return KindCapacityRequest }

// WireKind returns KindJobClaims.
func (*JobClaims) WireKind() Kind { return KindJobClaims }

// WireKind returns KindJobClaimsReply.
func (*JobClaimsReply) WireKind() Kind { return KindJobClaimsReply }

// WireKind returns KindReportPending.
func (*ReportPending) WireKind() Kind { return KindReportPending }

// WireKind returns KindEndTerms.
func (*EndTerms) WireKind() Kind { return KindEndTerms }

// WireKind returns KindTermsEnded.
func (*TermsEnded) WireKind() Kind { return KindTermsEnded }
