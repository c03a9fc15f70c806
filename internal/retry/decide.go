package retry

import "time"

// MaxAttempts bounds the attempts of one request, hedges included.
const MaxAttempts = 3

// Verdict says whether a request is tried again.
type Verdict uint8

// The verdicts. Final is the zero value.
const (
	// Final: the request has its response.
	Final Verdict = iota
	// Again: try again after Decision.After.
	Again
	// NotSafe: it may have run and is not idempotent.
	NotSafe
	// ResponseStarted: the caller already has a part of a response.
	ResponseStarted
	// BodyGone: the request's body was read and not kept.
	BodyGone
	// AttemptsUsed: MaxAttempts were made.
	AttemptsUsed
	// TooLate: the next attempt could not be answered by the deadline.
	TooLate
	// OverBudget: the retry budget is used up.
	OverBudget
)

var verdictNames = [...]string{
	Final:           "final",
	Again:           "again",
	NotSafe:         "not safe to run twice",
	ResponseStarted: "response started",
	BodyGone:        "body is gone",
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

// Request describes a request after an attempt.
type Request struct {
	// Idempotent says that the service lists the method as idempotent.
	Idempotent bool
	// Attempts is the number of attempts made so far, at least 1.
	Attempts int
	// Outcome is that of the attempts together: Unknown if any of them is.
	Outcome Outcome
	// BodyAvailable says that the whole body can be sent again.
	BodyAvailable bool
	// BytesToCaller is the number of response bytes that the caller was sent.
	BytesToCaller int64
	Deadline      time.Time
	// Expected is the usual latency of the service.
	Expected time.Duration
	// RetryAfter is what the refusal asked for; 0 if nothing.
	RetryAfter time.Duration
	// OtherServer says that another backend server may take the request. The wait
	// that this one asked for does not concern it.
	OtherServer bool
}

// Decision is a verdict and, for Again, the wait.
type Decision struct {
	Verdict Verdict
	Delay   time.Duration
}

// Decider decides on further attempts. Its methods are safe for concurrent use.
type Decider struct {
	budget  *Budget
	backoff *Backoff
}

// NewDecider returns a Decider. The caller counts each request with
// budget.Request.
func NewDecider(budget *Budget, backoff *Backoff) *Decider {
	return &Decider{budget: budget, backoff: backoff}
}

// Decide says whether and when the request is tried again. Again takes one retry
// out of the budget.
func (d *Decider) Decide(now time.Time, r Request) Decision {
	if verdict := permitted(r); verdict != Again {
		return Decision{Verdict: verdict}
	}
	after := d.wait(r)
	if now.Add(after + r.Expected).After(r.Deadline) {
		return Decision{Verdict: TooLate}
	}
	if !d.budget.Take(now) {
		return Decision{Verdict: OverBudget}
	}
	return Decision{Verdict: Again, Delay: after}
}

// permitted applies the rules that do not depend on time or load.
func permitted(r Request) Verdict {
	switch {
	case r.Outcome == Ran:
		return Final
	case r.Outcome != NotRun && !r.Idempotent:
		return NotSafe
	case r.BytesToCaller > 0:
		return ResponseStarted
	case !r.BodyAvailable:
		return BodyGone
	case r.Attempts >= MaxAttempts:
		return AttemptsUsed
	}
	return Again
}

func (d *Decider) wait(r Request) time.Duration {
	if !r.OtherServer {
		return d.backoff.Wait(r.Attempts, r.RetryAfter)
	}
	if r.Outcome == NotRun && r.Attempts == 1 {
		// The first refusal concerns one backend server only.
		return 0
	}
	return d.backoff.Wait(r.Attempts, 0)
}
