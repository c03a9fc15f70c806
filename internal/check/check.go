// Package check decides from a merged trace which of the twelve invariants of the
// design held; recording, reading and merging traces is left to package trace. A
// checker does not count a missing event as a violation where the recorder may have
// been lost, and does not return Held when the trace did not exercise the invariant.
package check

import (
	"fmt"
	"strings"
	"time"

	"fireflyfield/internal/trace"
)

// Verdict says whether an invariant held in a trace.
type Verdict string

// A checker returns Broken when it found a violation, NotExercised when the trace
// lacks events without which the invariant can't be decided, and Held otherwise.
const (
	Held         Verdict = "held"
	Broken       Verdict = "broken"
	NotExercised Verdict = "not exercised"
)

// maxViolations is the number of violations that a Result lists. Result.Total counts
// all of them.
const maxViolations = 10

// Options holds the time limits that the invariants depend on.
type Options struct {
	// ClockTolerance is the clock difference between two recorders up to which events
	// count as simultaneous. It is zero for recorders on one machine; a trace of
	// several machines needs 100 ms, and shorter violations are then not detected.
	ClockTolerance time.Duration
	// LeaveGrace is the time after the start of a departure during which the failure
	// domain or backend server may still receive new requests.
	LeaveGrace time.Duration
	// WithdrawGrace is the time after its withdrawal during which a caller key may
	// still be accepted.
	WithdrawGrace time.Duration
	// ConfigGrace is the time within which an accepted revision has to be in force at
	// every VM.
	ConfigGrace time.Duration
	// RecoveryBound is the time after a loss within which a backend server has to hold
	// each unit again.
	RecoveryBound time.Duration
	// IdempotencyTTL is the time for which the router stores an idempotency key.
	IdempotencyTTL time.Duration
}

// DefaultOptions returns the time limits of the design, with a ClockTolerance of zero
// for recorders on one machine.
func DefaultOptions() Options {
	return Options{
		LeaveGrace: 5 * time.Second,
		// 9 s until the VM learns of the withdrawal and 1 s until its next check.
		WithdrawGrace:  10 * time.Second,
		ConfigGrace:    9 * time.Second,
		RecoveryBound:  2 * time.Second,
		IdempotencyTTL: 10 * time.Minute,
	}
}

// Violation is one breach of an invariant with the events that prove it.
type Violation struct {
	Reason string        `json:"reason"`
	Events []trace.Event `json:"events"`
}

// Result is what one checker reports about its invariant.
type Result struct {
	// Invariant is the number of the invariant in section 3 of the design.
	Invariant int     `json:"invariant"`
	Name      string  `json:"name"`
	Verdict   Verdict `json:"verdict"`
	// Checked counts the cases in which the invariant could have been broken.
	Checked int `json:"checked"`
	// Missing describes what the trace lacks. It is set if Verdict is NotExercised.
	Missing []string `json:"missing,omitempty"`
	// Violations lists the first 10 violations.
	Violations []Violation `json:"violations,omitempty"`
	// Total counts all violations.
	Total int `json:"total"`
	// Dropped counts the events that the recorders could not write. If it is not zero,
	// an event that would disprove a violation may be among them.
	Dropped uint64 `json:"dropped,omitempty"`
}

// invariant describes an invariant and its checker.
type invariant struct {
	number int
	name   string
	check  func(*history, Options, *findings)
}

var invariants = []invariant{
	{1, "a key has at most one owning backend server", checkOwnership},
	{2, "an acknowledged assignment survives tolerated losses", checkDurability},
	{3, "a cold backend server gets no more load than it bears", checkColdLoad},
	{4, "a failure domain out of service gets no new work", checkDomainLeave},
	{5, "a request runs only for the workspace of its caller key", checkCallerKeys},
	{6, "no workspace exceeds its rate and burst", checkRate},
	{7, "each caller gets the complete response to its own request", checkAnswers},
	{8, "a refusal that says not run is true", checkNotRun},
	{9, "a non-idempotent request runs at most once", checkAtMostOnce},
	{10, "a leaving backend server gets no new work", checkServerLeave},
	{11, "a planned stop interrupts no request", checkStop},
	{12, "an accepted configuration is in force everywhere and never reverts", checkConfig},
}

// Run applies every checker to the events of one merged trace, in the order in
// which trace.Merge yields them, and returns one result for each invariant.
func Run(events []trace.Event, options Options) []Result {
	h := newHistory(events)
	results := make([]Result, 0, len(invariants))
	for _, row := range invariants {
		var found findings
		row.check(h, options, &found)
		results = append(results, found.result(row, h.dropped))
	}
	return results
}

// AnyBroken reports whether an invariant is broken.
func AnyBroken(results []Result) bool {
	for _, result := range results {
		if result.Verdict == Broken {
			return true
		}
	}
	return false
}

// String returns one line that describes the result, followed by the violations and
// their events.
func (r Result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%2d %-13s %s (%d checked)", r.Invariant, r.Verdict, r.Name, r.Checked)
	if len(r.Missing) > 0 {
		fmt.Fprintf(&text, ": %s", strings.Join(r.Missing, "; "))
	}
	if r.Verdict == Broken && r.Dropped > 0 {
		fmt.Fprintf(&text, ": %d events were dropped, so the violation may be caused by a missing event", r.Dropped)
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(&text, "\n   %s", violation.Reason)
		for _, event := range violation.Events {
			fmt.Fprintf(&text, "\n     %s", eventText(event))
		}
	}
	if hidden := r.Total - len(r.Violations); hidden > 0 {
		fmt.Fprintf(&text, "\n   and %d more", hidden)
	}
	return text.String()
}

func eventText(event trace.Event) string {
	data, err := event.MarshalJSON()
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// findings collects the violations and coverage that a checker finds in a trace.
type findings struct {
	checked    int
	total      int
	violations []Violation
	missing    []string
}

func (f *findings) addViolation(reason string, events ...trace.Event) {
	f.total++
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, Violation{Reason: reason, Events: events})
	}
}

// require adds missing to the reasons for NotExercised unless seen is true.
func (f *findings) require(seen bool, missing string) {
	if !seen {
		f.missing = append(f.missing, missing)
	}
}

// result derives the verdict from the findings. Dropped events rule out Held, since
// a violation may be among them.
func (f *findings) result(row invariant, dropped uint64) Result {
	r := Result{Invariant: row.number, Name: row.name, Checked: f.checked, Total: f.total, Violations: f.violations, Dropped: dropped}
	switch {
	case f.total > 0:
		r.Verdict = Broken
	case len(f.missing) > 0:
		r.Verdict = NotExercised
		r.Missing = f.missing
	case dropped > 0:
		r.Verdict = NotExercised
		r.Missing = []string{fmt.Sprintf("%d events were dropped, so a violation may have been missed", dropped)}
	default:
		r.Verdict = Held
	}
	return r
}
