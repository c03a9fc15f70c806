// Package check decides from a trace which of the twelve invariants of the design
// held. A checker never takes a missing event for an offence where the recorder
// may have been lost, and never says held when the trace did not exercise the
// invariant.
package check

import (
	"fmt"
	"strings"
	"time"

	"fireflyfield/internal/trace"
)

// Verdict is the result of one checker.
type Verdict string

// The verdicts.
const (
	Held         Verdict = "held"
	Broken       Verdict = "broken"
	NotExercised Verdict = "not exercised"
)

// maxViolations bounds the violations that a result lists; Total counts all.
const maxViolations = 10

// Options holds the limits in time that the invariants leave open.
type Options struct {
	// ClockTolerance is the difference between the clocks of two recorders that is
	// taken for simultaneous. It is zero for recorders on one machine; a trace of
	// several machines needs 100 ms, and shorter offences are then not found.
	ClockTolerance time.Duration
	// LeaveGrace is the time in which a leaving target may still get new work.
	LeaveGrace time.Duration
	// WithdrawGrace is the time in which a withdrawn caller key may still work.
	WithdrawGrace time.Duration
	// ConfigGrace is the time until an accepted revision is in force everywhere.
	ConfigGrace time.Duration
	// RecoveryBound is the time after a loss in which a unit has to be held again.
	RecoveryBound time.Duration
	// IdempotencyTTL is the time for which an idempotency key is kept.
	IdempotencyTTL time.Duration
}

// DefaultOptions returns the limits of the design for recorders on one machine.
func DefaultOptions() Options {
	return Options{
		LeaveGrace: 5 * time.Second,
		// 9 s until the VM learns of the withdrawal and 1 s until the next check.
		WithdrawGrace:  10 * time.Second,
		ConfigGrace:    9 * time.Second,
		RecoveryBound:  2 * time.Second,
		IdempotencyTTL: 10 * time.Minute,
	}
}

// Violation is one offence with the events that show it.
type Violation struct {
	Reason string        `json:"reason"`
	Events []trace.Event `json:"events"`
}

// Result is what one checker found.
type Result struct {
	// Invariant is the number in section 3 of the design.
	Invariant int     `json:"invariant"`
	Name      string  `json:"name"`
	Verdict   Verdict `json:"verdict"`
	// Checked counts the occasions on which the invariant could have been broken.
	Checked int `json:"checked"`
	// Missing says what the trace lacks; set when the verdict is not exercised.
	Missing []string `json:"missing,omitempty"`
	// Violations lists the first offences.
	Violations []Violation `json:"violations,omitempty"`
	// Total counts all offences.
	Total int `json:"total"`
	// Dropped counts events that the recorders could not write. A violation in
	// such a trace can be due to a missing event.
	Dropped uint64 `json:"dropped,omitempty"`
}

// invariant is one row of the table of checkers.
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
	{9, "a non-idempotent request runs at most once", checkOnce},
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

// String describes the result in one line, followed by the offending events.
func (r Result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%2d %-13s %s (%d checked)", r.Invariant, r.Verdict, r.Name, r.Checked)
	if len(r.Missing) > 0 {
		fmt.Fprintf(&text, ": %s", strings.Join(r.Missing, "; "))
	}
	if r.Verdict == Broken && r.Dropped > 0 {
		fmt.Fprintf(&text, ": %d events were dropped, so that a violation can be due to a missing event", r.Dropped)
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

// findings collects what a checker sees.
type findings struct {
	checked    int
	total      int
	violations []Violation
	missing    []string
}

func (f *findings) violate(reason string, events ...trace.Event) {
	f.total++
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, Violation{Reason: reason, Events: events})
	}
}

// need notes what the trace lacks unless the occasion was seen.
func (f *findings) need(seen bool, missing string) {
	if !seen {
		f.missing = append(f.missing, missing)
	}
}

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
		r.Missing = []string{fmt.Sprintf("%d events were dropped, so that a violation can be missing", dropped)}
	default:
		r.Verdict = Held
	}
	return r
}
