package recording

import (
	"fireflyfield/internal/backend"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/trace"
)

// refusalByReason maps the reasons of refusals and failed attempts to the reasons used
// in traces.
var refusalByReason = map[string]trace.Refusal{
	"rate-exceeded":             trace.RefusedRate,
	"no-caller-key":             trace.RefusedUnauthenticated,
	"unknown-caller-key":        trace.RefusedUnauthenticated,
	"service-not-allowed":       trace.RefusedForbidden,
	"stale-caller-keys":         trace.RefusedStaleKeys,
	"no-service":                trace.RefusedBadRequest,
	"unknown-service":           trace.RefusedBadRequest,
	"no-key":                    trace.RefusedBadRequest,
	"bad-request":               trace.RefusedBadRequest,
	"caller-key-in-path":        trace.RefusedBadRequest,
	"incomplete-body":           trace.RefusedBadRequest,
	"body-too-large":            trace.RefusedTooLarge,
	"idempotency-key-too-long":  trace.RefusedBadRequest,
	"idempotency-key-reused":    trace.RefusedIdempotencyMismatch,
	"too-many-idempotency-keys": trace.RefusedIdempotencyFull,
	"no-idempotency-holder":     trace.RefusedIdempotencyHolder,
	"idempotency-holder-moved":  trace.RefusedIdempotencyHolder,
	"cancelled":                 trace.RefusedCallerGone,
	"queue-full":                trace.RefusedQueueFull,
	"deadline-too-close":        trace.RefusedDeadline,
	backend.ReasonDeadline:      trace.RefusedDeadline,
	"no-owner":                  trace.RefusedNoOwner,
	"moved":                     trace.RefusedNoOwner,
	"not-gate":                  trace.RefusedNoOwner,
	"no-lease":                  trace.RefusedNoOwner,
	"gate-unknown":              trace.RefusedNoOwner,
	"gate-unreachable":          trace.RefusedUnreachable,
	"gate-lost":                 trace.RefusedUnreachable,
	"connect":                   trace.RefusedUnreachable,
	"connection-lost":           trace.RefusedUnreachable,
	"overloaded":                trace.RefusedLoadShed,
	backend.ReasonShed:          trace.RefusedLoadShed,
	backend.ReasonFence:         trace.RefusedFence,
	backend.ReasonDraining:      trace.RefusedDraining,
	"leaving":                   trace.RefusedStopping,
	"stopping":                  trace.RefusedStopping,
}

// Refusal returns the reason used in traces for the reason of a refusal or failed
// attempt. It returns trace.RefusedOther for an unknown reason.
func Refusal(reason string) trace.Refusal {
	if known, ok := refusalByReason[reason]; ok {
		return known
	}
	return trace.RefusedOther
}

// Outcome returns the outcome used in traces for an outcome.Kind.
func Outcome(kind outcome.Kind) trace.Outcome { return trace.Outcome(kind.String()) }
