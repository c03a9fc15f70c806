package check

import (
	"cmp"
	"fmt"
	"slices"

	"fireflyfield/internal/trace"
)

// checkNotRun checks invariant 8, both for answers to callers and for the outcomes of
// single attempts, on which retries rely.
func checkNotRun(h *history, _ Options, found *findings) {
	runs := false
	for _, r := range h.requestOrder {
		runs = runs || len(r.starts) > 0
		checkNotRunAnswers(r, found)
		checkNotRunAttempts(r, found)
	}
	found.require(found.checked > 0, "no answer or attempt had the outcome not-run")
	found.require(runs, "no backend server recorded a run")
}

func checkNotRunAnswers(r *request, found *findings) {
	for _, answer := range r.answers {
		if answer.body.Outcome != trace.NotRun {
			continue
		}
		found.checked++
		if len(r.starts) > 0 {
			found.addViolation(fmt.Sprintf("request %s ran although its answer has the outcome not-run", r.id), r.starts[0].event, answer.event)
		}
	}
}

func checkNotRunAttempts(r *request, found *findings) {
	for _, outcome := range r.outcomes {
		if outcome.body.Outcome != trace.NotRun {
			continue
		}
		found.checked++
		for _, start := range r.starts {
			if start.body.Attempt == outcome.body.Attempt {
				found.addViolation(fmt.Sprintf("attempt %d of request %s ran although its outcome is not-run", outcome.body.Attempt, r.id), start.event, outcome.event)
			}
		}
	}
}

// idempotencyScope identifies an idempotency key, which is valid within a workspace.
type idempotencyScope struct {
	workspace string
	key       trace.Hash
}

// checkAtMostOnce checks invariant 9. Requests of a workspace with the same idempotency
// key count as one request for as long as the key is stored.
func checkAtMostOnce(h *history, o Options, found *findings) {
	repeats := make(map[idempotencyScope][]*request)
	var scopes []idempotencyScope
	couldRepeat := false
	for _, r := range h.requestOrder {
		if len(r.received) == 0 || r.received[0].body.Idempotent {
			continue
		}
		couldRepeat = couldRepeat || couldRunTwice(r)
		checkRuns(r.id, r.starts, never, found)
		body := r.received[0].body
		if body.IdempotencyKey == 0 {
			continue
		}
		scope := idempotencyScope{body.Workspace, body.IdempotencyKey}
		if repeats[scope] == nil {
			scopes = append(scopes, scope)
		}
		repeats[scope] = append(repeats[scope], r)
	}
	for _, scope := range scopes {
		if len(repeats[scope]) > 1 {
			couldRepeat = true
			checkRepeats(repeats[scope], o, found)
		}
	}
	found.require(found.checked > 0, "no non-idempotent request ran")
	found.require(couldRepeat, "no non-idempotent request had a second attempt, an unknown outcome or a repeated idempotency key")
}

// couldRunTwice reports whether the request had several attempts or an attempt with an
// unknown outcome.
func couldRunTwice(r *request) bool {
	if len(r.attempts) > 1 {
		return true
	}
	return slices.ContainsFunc(r.outcomes, func(e entry[trace.AttemptOutcome]) bool { return e.body.Outcome == trace.Unknown })
}

// checkRuns reports a request of which two successive runs begin less than window (in
// ns) apart.
func checkRuns(name string, starts []entry[trace.RunStart], window int64, found *findings) {
	if len(starts) == 0 {
		return
	}
	found.checked++
	for i := 1; i < len(starts); i++ {
		if starts[i].event.Time-starts[i-1].event.Time < window {
			found.addViolation(fmt.Sprintf("non-idempotent request %s ran %d times", name, len(starts)), eventsOf(starts)...)
			return
		}
	}
}

// checkRepeats checks requests that share an idempotency key. It takes only the first
// run of each request, so that a request that ran twice is not reported again here.
func checkRepeats(requests []*request, o Options, found *findings) {
	var starts []entry[trace.RunStart]
	for _, r := range requests {
		if len(r.starts) > 0 {
			starts = append(starts, r.starts[0])
		}
	}
	slices.SortFunc(starts, func(a, b entry[trace.RunStart]) int { return cmp.Compare(a.event.Time, b.event.Time) })
	name := fmt.Sprintf("%s, including repeats with its idempotency key,", requests[0].id)
	checkRuns(name, starts, int64(o.IdempotencyTTL), found)
}
