// Package outcome defines the outcome of a request, ran, not run or unknown, and the
// problem document by which a VM answers a request itself. Which outcome a request
// has is decided by the packages that handle it.
package outcome

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind is the outcome of a request: whether it ran at a backend server.
type Kind uint8

// The outcomes of a request.
const (
	// Unknown means that the request may have run. It is the zero value, because the
	// other two require evidence.
	Unknown Kind = iota
	// Ran means that a backend server answered the request.
	Ran
	// NotRun means that no byte of the request can have reached a backend server, or
	// that the backend server itself reported that it did not run the request.
	NotRun
)

// String returns the outcome as it is written in headers and traces.
func (k Kind) String() string {
	switch k {
	case Ran:
		return "ran"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// ParseKind is the inverse of String. It returns Unknown for any other text.
func ParseKind(s string) Kind {
	switch s {
	case "ran":
		return Ran
	case "not-run":
		return NotRun
	default:
		return Unknown
	}
}

// Header is the name of the response header that holds the outcome, in answers that no
// backend server made.
const Header = "Fireflyfield-Outcome"

// Refusal is an answer that a VM makes itself instead of passing on that of a backend
// server. It is a regular result of handling a request and does not mean that the VM
// failed.
type Refusal struct {
	Kind   Kind // outcome of the request
	Status int  // HTTP status
	// Reason is a short machine-readable identifier, such as "rate-exceeded".
	Reason string
	// Detail is one sentence for human readers. It must not contain a secret, since it is
	// sent to the caller.
	Detail string
	// RetryAfter is the time after which the caller may retry, sent in whole seconds,
	// rounded up; zero omits the header.
	RetryAfter time.Duration
}

// NotRunRefusal returns a refusal of a request that did not run, without a time after which
// to retry.
func NotRunRefusal(status int, reason, detail string) *Refusal {
	return &Refusal{Kind: NotRun, Status: status, Reason: reason, Detail: detail}
}

// Error implements error, so that a refusal can be returned through interfaces of the
// standard library.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Kind, r.Detail)
}

// problem is the body of a problem document as defined by RFC 9457, with the reason and
// the outcome as additional members.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
}

// Write sends the refusal as a problem document, with the outcome in Header too. The
// answer must not be cached.
func (r *Refusal) Write(w http.ResponseWriter) {
	body, err := json.Marshal(problem{
		Type:    "about:blank",
		Title:   http.StatusText(r.Status),
		Status:  r.Status,
		Detail:  r.Detail,
		Reason:  r.Reason,
		Outcome: r.Kind.String(),
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	header.Set(Header, r.Kind.String())
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(body) // the caller may be gone
}

// retryAfterSeconds converts a duration to the whole seconds that Retry-After takes. It
// rounds up, so that the caller does not retry too early.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
