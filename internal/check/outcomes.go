package check

import (
	"cmp"
	"fmt"
	"slices"

	"fireflyfield/internal/trace"
)

// checkNotRun is invariant 8, for answers to callers and for the outcomes of
// single attempts, on which retries rely.
func checkNotRun(h *history, _ Options, found *findings) {
	runs := false
	for _, r := range h.order {
		runs = runs || len(r.starts) > 0
		checkNotRunAnswers(r, found)
		checkNotRunAttempts(r, found)
	}
	found.need(found.checked > 0, "no refusal that says not run")
	found.need(runs, "no backend server recorded a run")
}

func checkNotRunAnswers(r *request, found *findings) {
	for _, answer := range r.answers {
		if answer.body.Outcome != trace.NotRun {
			continue
		}
		found.checked++
		if len(r.starts) > 0 {
			found.violate(fmt.Sprintf("request %s ran although its answer says not run", r.id), r.starts[0].event, answer.event)
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
				found.violate(fmt.Sprintf("attempt %d of request %s ran although its outcome says not run", outcome.body.Attempt, r.id), start.event, outcome.event)
			}
		}
	}
}

// idempotencyScope is what a caller's idempotency key is valid for.
type idempotencyScope struct {
	workspace string
	key       trace.Hash
}

// checkOnce is invariant 9. Requests with the same idempotency key of a workspace
// count as one for as long as the key is kept.
func checkOnce(h *history, o Options, found *findings) {
	repeats := make(map[idempotencyScope][]*request)
	var scopes []idempotencyScope
	risky := false
	for _, r := range h.order {
		if len(r.received) == 0 || r.received[0].body.Idempotent {
			continue
		}
		risky = risky || couldRunTwice(r)
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
			risky = true
			checkRepeats(repeats[scope], o, found)
		}
	}
	found.need(found.checked > 0, "no non-idempotent request ran")
	found.need(risky, "no non-idempotent request had a second attempt, an unknown outcome or a repeat")
}

func couldRunTwice(r *request) bool {
	if len(r.attempts) > 1 {
		return true
	}
	return slices.ContainsFunc(r.outcomes, func(e entry[trace.AttemptOutcome]) bool { return e.body.Outcome == trace.Unknown })
}

func checkRuns(name string, starts []entry[trace.RunStart], within int64, found *findings) {
	if len(starts) == 0 {
		return
	}
	found.checked++
	for i := 1; i < len(starts); i++ {
		if starts[i].event.Time-starts[i-1].event.Time < within {
			found.violate(fmt.Sprintf("%s is not idempotent and ran %d times", name, len(starts)), eventsOf(starts)...)
			return
		}
	}
}

// checkRepeats takes the first run of each request, so that a request which ran
// twice by itself is reported once.
func checkRepeats(requests []*request, o Options, found *findings) {
	var starts []entry[trace.RunStart]
	for _, r := range requests {
		if len(r.starts) > 0 {
			starts = append(starts, r.starts[0])
		}
	}
	slices.SortFunc(starts, func(a, b entry[trace.RunStart]) int { return cmp.Compare(a.event.Time, b.event.Time) })
	name := fmt.Sprintf("the idempotency key of request %s", requests[0].id)
	checkRuns(name, starts, int64(o.IdempotencyTTL), found)
}
