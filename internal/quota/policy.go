package quota

import "time"

// Policy selects how far requests are kept from finding no token.
type Policy struct {
	// MaxWait is the longest time that a request waits for a batch; zero refuses
	// at once.
	MaxWait time.Duration
	// Prefetch asks for the next batch before the current one is used up.
	Prefetch bool
	// ReturnIdle returns tokens that recent demand does not need before they expire.
	ReturnIdle bool
	// MaxDefer is the longest time for which a keeper holds back a reply that it
	// can't fill yet.
	MaxDefer time.Duration
}

// DefaultPolicy is used in production. MaxWait covers the move of a keeper's role
// to another VM, during which nobody answers; a keeper without tokens says so and
// ends the wait at once. MaxDefer leaves room for one exchange with a keeper of
// another failure domain.
var DefaultPolicy = Policy{
	MaxWait:    time.Second,
	Prefetch:   true,
	ReturnIdle: true,
	MaxDefer:   6 * time.Millisecond,
}

// PlainPolicy asks only when no token is left and refuses until the batch is
// there. It is the baseline of the measurements.
var PlainPolicy = Policy{}
