package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/dev"
	"fireflyfield/internal/trace"
)

// scriptEvent is one event of a script with its time since the first event of the
// script.
type scriptEvent struct {
	after time.Duration
	body  trace.Body
}

// script holds the events that a driver causes, ordered by time.
type script struct {
	requests []scriptEvent
	// changes are faults and configuration changes. They are applied one after the
	// other.
	changes []scriptEvent
}

// newScript selects the requests, faults, departures and caller key withdrawals from a
// trace. An event that several VMs recorded is taken once, at its earliest time.
func newScript(events []trace.Event) (script, error) {
	sorted := slices.SortedStableFunc(slices.Values(events), trace.Compare)
	var s script
	begin := int64(-1)
	seen := make(map[any]bool)
	for _, event := range sorted {
		id, ok := recordIdentity(event.Body)
		if !ok || seen[id] {
			continue
		}
		seen[id] = true
		if begin < 0 {
			begin = event.Time
		}
		s.add(scriptEvent{time.Duration(event.Time - begin), event.Body})
	}
	if len(s.requests) == 0 {
		return script{}, errors.New("the trace contains no requests")
	}
	return s, s.check()
}

func (s *script) add(next scriptEvent) {
	if _, ok := next.body.(trace.Request); ok {
		s.requests = append(s.requests, next)
		return
	}
	s.changes = append(s.changes, next)
}

// requestID and withdrawal are distinct types so that the identities of a request and of
// a withdrawal are never equal.
type (
	requestID  string
	withdrawal trace.Digest
)

// recordIdentity returns a value that is equal for all records of the same event, and
// false for an event that a driver can't cause.
func recordIdentity(body trace.Body) (any, bool) {
	switch body := body.(type) {
	case trace.Request:
		return requestID(body.Request), true
	case trace.Fault:
		return body, true
	case trace.Leave:
		return body, body.Phase != trace.LeaveAnnounced
	case trace.CallerKeyWithdraw:
		return withdrawal(body.Digest), true
	default:
		return nil, false
	}
}

// check returns an error if the script contains faults that can't be injected into a
// deployment in one process.
func (s *script) check() error {
	var unsupported []string
	for _, change := range s.changes {
		fault, ok := change.body.(trace.Fault)
		if ok && !supported(fault.Kind) && !slices.Contains(unsupported, string(fault.Kind)) {
			unsupported = append(unsupported, string(fault.Kind))
		}
	}
	if len(unsupported) > 0 {
		return errors.Errorf("these faults can't be injected into a deployment in one process: %v", unsupported)
	}
	return nil
}

// supported reports whether changeApplier can inject a kind of fault.
func supported(kind trace.FaultKind) bool {
	switch kind {
	case trace.FaultServerRestarted, trace.FaultServerSlow, trace.FaultServerMisreports, trace.FaultServerTruncates,
		trace.FaultLogDown, trace.FaultLogSlow, trace.FaultLogLosesAnswers:
		return true
	default:
		return false
	}
}

// examples lists the example deployments that a script can be written for.
var examples = []string{"dakar", "serra-sul"}

// ExampleOf returns the example deployment whose services receive the most requests of
// a trace.
func ExampleOf(events []trace.Event) (string, error) {
	called := make(map[string]int)
	for _, event := range events {
		if body, ok := event.Body.(trace.Request); ok {
			called[body.Service]++
		}
	}
	matches := make(map[string]int)
	for _, example := range examples {
		resources, err := dev.Resources(example)
		if err != nil {
			return "", err
		}
		for service := range services(resources) {
			matches[example] += called[service]
		}
	}
	best := slices.MaxFunc(examples, func(a, b string) int { return cmp.Compare(matches[a], matches[b]) })
	if matches[best] == 0 {
		return "", errors.New("no request of the trace calls a service of an example deployment")
	}
	return best, nil
}
