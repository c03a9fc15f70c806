package quota

import "time"

// Policy configures how holders and keepers avoid refusing requests that are within
// the rate.
type Policy struct {
	// MaxWait is the longest time for which a request waits for a batch. If it is
	// zero, a request that finds no token is refused at once.
	MaxWait time.Duration
	// Prefetch makes holders and keepers ask for the next batch before the last one is
	// used up.
	Prefetch bool
	// ReturnIdle makes holders return tokens before expiry if recent demand does not
	// need them.
	ReturnIdle bool
	// MaxReplyDelay is the longest time for which a keeper delays the reply to a sync
	// whose need it can't meet yet.
	MaxReplyDelay time.Duration
}

// DefaultPolicy is the policy of production servers. MaxWait covers the move of a
// keeper's role to another VM, during which no keeper answers; a keeper that has no
// tokens replies so and ends the wait at once. MaxReplyDelay covers one exchange of
// messages with the keeper of another failure domain.
var DefaultPolicy = Policy{
	MaxWait:       time.Second,
	Prefetch:      true,
	ReturnIdle:    true,
	MaxReplyDelay: 6 * time.Millisecond,
}

// PlainPolicy asks for tokens only when none is left and refuses requests until the
// batch arrives. It is the baseline that DefaultPolicy is compared with.
var PlainPolicy = Policy{}
