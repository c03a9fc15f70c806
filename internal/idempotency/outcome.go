package idempotency

// Outcome is the answer to a request with an Idempotency-Key.
type Outcome int

// The outcomes.
const (
	// NotRun means that the request was not run and is refused. Decision.Reason
	// has the cause.
	NotRun Outcome = iota
	// Run means that the request may be sent once under Decision.RunID.
	Run
	// Pending means that the decision follows on Decision.Ready.
	Pending
	// InProgress means that the first request is running. Decision.Finished is
	// closed at its end.
	InProgress
	// Done means that Decision.Result is the response to the first request.
	Done
	// Unknown means that the first request may have run and its result is not
	// known here.
	Unknown
	// Mismatch means that the key was used with another request.
	Mismatch
)

// Reason says why a request was not run.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonNotHolder means that this VM is not the holder or its lease has ended.
	ReasonNotHolder
	// ReasonTooManyKeys means that the workspace has MaxEntries keys.
	ReasonTooManyKeys
	// ReasonHandover means that the partition is being handed over.
	ReasonHandover
	// ReasonRoleChanged means that the role changed before the run started.
	ReasonRoleChanged
)

// Decision is the result of Begin.
type Decision struct {
	Outcome Outcome
	Reason  Reason
	RunID   uint64
	Result  *Result
	// Ready receives exactly one decision, Run or NotRun, when Outcome is Pending.
	Ready <-chan Decision
	// Finished is set when Outcome is InProgress. After it is closed, Begin answers
	// the repeat.
	Finished <-chan struct{}
}
