package metrics

// otherReason is the label value for every reason that is not in reasons.
const otherReason = "other"

// reasons is the set of values of the label "reason". Backend servers send reasons in a
// header, so without a fixed set they could create any number of series.
var reasons = makeSet(
	"", "body-memory", "body-too-large", "bad-request", "caller-key-in-path", "caller-key-withdrawn", "cancelled", "connect",
	"connection-lost", "deadline", "deadline-too-close", "draining", "fence", "gate-answer", "gate-lost",
	"gate-unknown", "gate-unreachable", "idempotency-holder-moved", "idempotency-key-reused",
	"idempotency-key-too-long", "in-progress", "incomplete-body", "leaving", "malformed-forward", "moved",
	"no-backend-server", "no-idempotency-holder", "no-caller-key", "no-key", "no-lease", "no-owner", "not-gate", "not-ready",
	"overloaded", "queue-full", "rate-exceeded", "result-unknown", "service-not-allowed", "shed", "stale-caller-keys", "too-many-idempotency-keys",
	"unknown-caller-key", "unknown-service",
	"address-of-vm", "attempts-used", "backend-refused", "backends-cold", "backends-full", "backends-limited", "backends-paused", "caller-key-unknown", "caller-left",
	"configuration-stale", "key-missing", "no-backend", "no-configuration", "no-path", "no-route", "no-time", "not-owner", "not-sent",
	"outcome-unknown", "owner-backends-cold", "owner-backends-full", "owner-backends-limited", "owner-backends-paused", "owner-no-backend", "owner-no-time", "retry-budget",
	"quarantined", "service-unknown", "timeout", "vm-stops",
)

func makeSet(values ...string) map[string]bool {
	set := make(map[string]bool, len(values))
	for _, value := range values {
		set[value] = true
	}
	return set
}

// Reason returns the value of the label "reason": the reason itself if it is known, and
// "other" if not.
func Reason(reason string) string {
	if reasons[reason] {
		return reason
	}
	return otherReason
}
