package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/dev"
	"fireflyfield/internal/trace"
)

// step is one event of a script with its time after the begin.
type step struct {
	after time.Duration
	body  trace.Body
}

// script is what a driver brings about, by time.
type script struct {
	requests []step
	// changes are faults and changes of the configuration, which happen one after
	// the other.
	changes []step
}

// newScript takes the requests, faults, departures and withdrawals of the events.
// What several VMs recorded counts once.
func newScript(events []trace.Event) (script, error) {
	sorted := slices.SortedStableFunc(slices.Values(events), trace.Compare)
	var s script
	begin := int64(-1)
	seen := make(map[any]bool)
	for _, event := range sorted {
		id, ok := identity(event.Body)
		if !ok || seen[id] {
			continue
		}
		seen[id] = true
		if begin < 0 {
			begin = event.Time
		}
		s.add(step{time.Duration(event.Time - begin), event.Body})
	}
	if len(s.requests) == 0 {
		return script{}, errors.New("the trace has no requests")
	}
	return s, s.check()
}

func (s *script) add(next step) {
	if _, ok := next.body.(trace.Request); ok {
		s.requests = append(s.requests, next)
		return
	}
	s.changes = append(s.changes, next)
}

// requestID and withdrawal tell the keys of identity apart.
type (
	requestID  string
	withdrawal trace.Digest
)

// identity returns a value that is the same for every record of one event, and
// false for an event that no driver can bring about.
func identity(body trace.Body) (any, bool) {
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

// check refuses faults that a deployment in one process can't have.
func (s *script) check() error {
	var unsupported []string
	for _, change := range s.changes {
		fault, ok := change.body.(trace.Fault)
		if ok && !supported(fault.Kind) && !slices.Contains(unsupported, string(fault.Kind)) {
			unsupported = append(unsupported, string(fault.Kind))
		}
	}
	if len(unsupported) > 0 {
		return errors.Errorf("a deployment in one process can't have these faults: %v", unsupported)
	}
	return nil
}

func supported(kind trace.FaultKind) bool {
	switch kind {
	case trace.FaultServerRestarted, trace.FaultServerSlow, trace.FaultServerMisreports, trace.FaultServerTruncates,
		trace.FaultLogDown, trace.FaultLogSlow, trace.FaultLogLosesAnswers:
		return true
	default:
		return false
	}
}

// examples lists the deployments that a script can be for.
var examples = []string{"dakar", "serra-sul"}

// ExampleOf returns the example whose services the requests call.
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
		return "", errors.New("the requests call no service of an example")
	}
	return best, nil
}
