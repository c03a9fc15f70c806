// Package outcome says what became of a request, for callers and between VMs.
package outcome

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind says whether a request ran at a backend server.
type Kind uint8

// The kinds of outcome.
const (
	// Unknown means that the request may have run. It is the zero value, because
	// only evidence allows one of the other two.
	Unknown Kind = iota
	// Ran means that a backend server answered.
	Ran
	// NotRun means that no byte of the request can have reached a backend server,
	// or that the backend server itself said that it did not run the request.
	NotRun
)

// String returns the form used in headers and traces.
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

// ParseKind is the inverse of String; anything else is Unknown.
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

// Header carries the outcome of an answer that no backend server made.
const Header = "Fireflyfield-Outcome"

// Refusal is an answer that no backend server made. It is a value, not a fault
// of the process.
type Refusal struct {
	Kind   Kind
	Status int
	// Reason is a short machine-readable word, such as "rate-exceeded".
	Reason string
	// Detail is one sentence for people; it never holds a secret.
	Detail string
	// RetryAfter is the time after which a later try makes sense; zero for none.
	RetryAfter time.Duration
}

// NotRunRefusal returns a refusal of a request that did not run, without advice to
// try again.
func NotRunRefusal(status int, reason, detail string) *Refusal {
	return &Refusal{Kind: NotRun, Status: status, Reason: reason, Detail: detail}
}

// Error implements error, so that a refusal can travel through interfaces of the
// standard library.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Kind, r.Detail)
}

// problem is the body defined by RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
}

// Write sends the refusal as a problem document.
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
		panic(err) // the struct holds only strings and numbers
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

// retryAfterSeconds rounds up, since the header has a resolution of one second.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
