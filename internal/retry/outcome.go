package retry

import "fireflyfield/internal/outcome"

// Outcome says whether a request ran at a backend server.
type Outcome = outcome.Kind

// The outcomes.
const (
	Unknown = outcome.Unknown
	Ran     = outcome.Ran
	NotRun  = outcome.NotRun
)

// Source says who made the response header that an attempt received.
type Source uint8

// The sources of a response.
const (
	// NoResponse: no complete response header was received.
	NoResponse Source = iota
	// FromBackend: the response carries a Backend-Instance.
	FromBackend
	// FromVM: the response was made by another VM of fireflyfield.
	FromVM
)

// Attempt is the evidence of one attempt.
type Attempt struct {
	// Written says that at least one byte of the request was handed to the
	// connection. Bytes in a local buffer count, as they may still be sent.
	Written bool
	Source  Source
	// OutcomeHeader is Backend-Outcome of a backend server's response, or
	// Fireflyfield-Outcome of a VM's; empty if absent.
	OutcomeHeader string
	// Complete says that the response ended as its protocol demands.
	Complete bool
}

// Classify returns the outcome that the evidence proves, Unknown if it proves none.
func Classify(a Attempt) Outcome {
	switch a.Source {
	case FromBackend:
		return classifyBackend(a)
	case FromVM:
		return classifyVM(a)
	}
	if !a.Written {
		return NotRun
	}
	return Unknown
}

func classifyBackend(a Attempt) Outcome {
	switch {
	case a.OutcomeHeader == NotRun.String():
		// The header alone is the backend server's statement; the body adds nothing.
		return NotRun
	case a.Complete:
		return Ran
	}
	return Unknown
}

// classifyVM trusts the statement of a VM, which applied the same rules.
func classifyVM(a Attempt) Outcome {
	if a.OutcomeHeader == NotRun.String() {
		return NotRun
	}
	return Unknown
}
