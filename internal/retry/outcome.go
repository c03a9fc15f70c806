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
	// NoResponse means that no complete response header was received.
	NoResponse Source = iota
	// FromBackend means that the response carries a Backend-Instance header.
	FromBackend
	// FromVM means that another VM of fireflyfield made the response.
	FromVM
)

// Attempt is what is known of one attempt.
type Attempt struct {
	// Written is set if at least one byte of the request was written to the connection.
	// Bytes in a local buffer count, as they may still be sent.
	Written bool
	Source  Source
	// OutcomeHeader is the value of Backend-Outcome in a backend server's response, or
	// of Fireflyfield-Outcome in a VM's; empty if the header is absent.
	OutcomeHeader string
	// Complete is set if the response ended as its protocol requires.
	Complete bool
}

// Classify returns the outcome that the attempt proves, or Unknown if it proves none.
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

// classifyBackend classifies an attempt that a backend server responded to.
func classifyBackend(a Attempt) Outcome {
	switch {
	case a.OutcomeHeader == NotRun.String():
		// The header is enough, even if the body is incomplete.
		return NotRun
	case a.Complete:
		return Ran
	}
	return Unknown
}

// classifyVM classifies an attempt that another VM responded to. It trusts that VM's
// statement, since the VM applied the same rules.
func classifyVM(a Attempt) Outcome {
	if a.OutcomeHeader == NotRun.String() {
		return NotRun
	}
	return Unknown
}
