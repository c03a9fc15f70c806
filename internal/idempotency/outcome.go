package idempotency

// Outcome is the decision on a request with an Idempotency-Key.
type Outcome int

// Outcomes of Store.Begin.
const (
	// NotRun means that the request is rejected and was not run. Decision.Reason
	// tells why.
	NotRun Outcome = iota
	// Run means that the request may be sent once, as run Decision.RunID.
	Run
	// Pending means that Decision.Ready delivers the decision later.
	Pending
	// InProgress means that the first request is running. Decision.Finished is
	// closed when it ends.
	InProgress
	// Done means that Decision.Result is the response to the first request.
	Done
	// Unknown means that the first request may have run but its result is not
	// known.
	Unknown
	// Mismatch means that the key was used before with a different request.
	Mismatch
)

// Reason tells why a request was rejected.
type Reason int

// Reasons for the outcome NotRun.
const (
	ReasonNone Reason = iota
	// ReasonNotHolder means that this VM is not the holder or its lease has ended.
	ReasonNotHolder
	// ReasonTooManyKeys means that the workspace already has MaxEntries keys in the
	// partition.
	ReasonTooManyKeys
	// ReasonHandover means that the partition is being handed over.
	ReasonHandover
	// ReasonRoleChanged means that the role changed before the run started.
	ReasonRoleChanged
)

// Decision is the result of Begin.
type Decision struct {
	Outcome Outcome
	// Reason is set when Outcome is NotRun.
	Reason Reason
	// RunID is set when Outcome is Run or Pending.
	RunID uint64
	// Result is set when Outcome is Done.
	Result *Result
	// Ready receives exactly one decision, Run or NotRun, when Outcome is Pending.
	Ready <-chan Decision
	// Finished is set when Outcome is InProgress. Once it is closed, Begin has to be
	// called again for the decision on the repeat.
	Finished <-chan struct{}
}
