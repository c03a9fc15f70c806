package retry

import "time"

// MaxAttempts bounds the attempts of one request, hedges included.
const MaxAttempts = 3

// Verdict says whether a request is retried, and if not, why.
type Verdict uint8

// The verdicts. Final is the zero value.
const (
	// Final means that the request has its final response.
	Final Verdict = iota
	// Again means that the request is retried after Decision.Delay.
	Again
	// NotSafe means that the request may have run and is not idempotent.
	NotSafe
	// ResponseStarted means that the caller already received a part of a response.
	ResponseStarted
	// BodyUnavailable means that the body of the request cannot be sent again.
	BodyUnavailable
	// AttemptsUsed means that MaxAttempts attempts were made.
	AttemptsUsed
	// TooLate means that the next attempt could not be answered by the deadline.
	TooLate
	// OverBudget means that the retry budget is used up.
	OverBudget
)

var verdictNames = [...]string{
	Final:           "final",
	Again:           "again",
	NotSafe:         "not safe to run twice",
	ResponseStarted: "response started",
	BodyUnavailable: "body unavailable",
	AttemptsUsed:    "attempts used up",
	TooLate:         "too late for the deadline",
	OverBudget:      "over the retry budget",
}

// String returns the verdict in words.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown verdict"
	}
	return verdictNames[v]
}

// Request describes a request and its attempts so far.
type Request struct {
	// Idempotent is set if the service lists the method as idempotent.
	Idempotent bool
	// Attempts is the number of attempts made so far, at least 1.
	Attempts int
	// Outcome is the outcome of all attempts together: Unknown if that of any attempt
	// is.
	Outcome Outcome
	// BodyAvailable is set if the whole body can be sent again.
	BodyAvailable bool
	// BytesToCaller is the number of response bytes that were sent to the caller.
	BytesToCaller int64
	Deadline      time.Time
	// UsualLatency is the usual latency of the service.
	UsualLatency time.Duration
	// RetryAfter is the time that the rejection asked to wait; 0 if it asked for none.
	RetryAfter time.Duration
	// OtherServer is set if another backend server may run the request. RetryAfter does
	// not apply to that one.
	OtherServer bool
}

// Decision is a verdict and, if that is Again, the delay before the next attempt.
type Decision struct {
	Verdict Verdict
	Delay   time.Duration
}

// Policy decides about further attempts. It is safe for concurrent use.
type Policy struct {
	budget  *Budget
	backoff *Backoff
}

// NewPolicy returns a Policy. Its user counts each request with budget.Request.
func NewPolicy(budget *Budget, backoff *Backoff) *Policy {
	return &Policy{budget: budget, backoff: backoff}
}

// Decide decides whether and after which delay a request is retried. With the verdict
// Again, it takes one retry out of the budget.
func (p *Policy) Decide(now time.Time, r Request) Decision {
	if verdict := permitted(r); verdict != Again {
		return Decision{Verdict: verdict}
	}
	delay := p.delay(r)
	if now.Add(delay + r.UsualLatency).After(r.Deadline) {
		return Decision{Verdict: TooLate}
	}
	if !p.budget.Take(now) {
		return Decision{Verdict: OverBudget}
	}
	return Decision{Verdict: Again, Delay: delay}
}

// permitted applies the rules that depend neither on time nor on the budget. It returns
// Again if they allow a retry.
func permitted(r Request) Verdict {
	switch {
	case r.Outcome == Ran:
		return Final
	case r.Outcome != NotRun && !r.Idempotent:
		return NotSafe
	case r.BytesToCaller > 0:
		return ResponseStarted
	case !r.BodyAvailable:
		return BodyUnavailable
	case r.Attempts >= MaxAttempts:
		return AttemptsUsed
	}
	return Again
}

// delay returns the delay before the next attempt.
func (p *Policy) delay(r Request) time.Duration {
	if !r.OtherServer {
		return p.backoff.Delay(r.Attempts, r.RetryAfter)
	}
	if r.Outcome == NotRun && r.Attempts == 1 {
		// The first rejection says nothing about other backend servers.
		return 0
	}
	return p.backoff.Delay(r.Attempts, 0)
}
