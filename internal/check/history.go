package check

import (
	"math"
	"slices"
	"time"

	"fireflyfield/internal/trace"
)

// never is the end time of a span that does not end in the trace.
const never = math.MaxInt64

// entry is an event together with its body in its concrete type.
type entry[T trace.Body] struct {
	event trace.Event
	body  T
}

// attemptKey identifies an attempt by request and attempt number.
type attemptKey struct {
	request string
	attempt uint32
}

// request holds all events recorded about one request. Each list is sorted by time.
type request struct {
	id       string
	received []entry[trace.Request]
	admitted []entry[trace.Admitted]
	attempts []entry[trace.Attempt]
	outcomes []entry[trace.AttemptOutcome]
	answers  []entry[trace.Answer]
	starts   []entry[trace.RunStart]
	ends     []entry[trace.RunEnd]
	refusals []entry[trace.RunRefused]
}

// span is a time interval in Unix ns; its end is excluded.
type span struct {
	begin, end int64
}

func (s span) overlaps(begin, end int64) bool { return s.begin < end && begin < s.end }

// fault is an injected fault and the time during which it was active.
type fault struct {
	span
	trace.Fault
	event trace.Event
}

// recording holds the events that one instance of a recorder wrote, in the order of
// its file.
type recording struct {
	vm     string
	header trace.Header
	events []trace.Event
}

func (r *recording) first() int64 { return r.events[0].Time }
func (r *recording) last() int64  { return r.events[len(r.events)-1].Time }

// history indexes a trace for the checkers.
type history struct {
	// sorted holds all events sorted by time.
	sorted   []trace.Event
	requests map[string]*request
	// requestOrder holds all requests in the order of their first events.
	requestOrder []*request
	faults       []fault
	recordings   []*recording
	// domains maps a recorder to its failure domain.
	domains map[string]string
	// senders maps an attempt to the VM that sent it.
	senders map[attemptKey]string
	dropped uint64
	// lastTime is the time of the last event in Unix ns.
	lastTime int64
	leases   map[unitKey][]*lease
}

func newHistory(events []trace.Event) *history {
	h := &history{
		sorted:   slices.Clone(events),
		requests: make(map[string]*request),
		domains:  make(map[string]string),
		senders:  make(map[attemptKey]string),
	}
	h.indexRecordings(events)
	slices.SortStableFunc(h.sorted, trace.Compare)
	for _, event := range h.sorted {
		h.indexRequest(event)
		h.indexFault(event)
		h.lastTime = event.Time
	}
	h.leases = leasesByUnit(h.sorted, h.lastTime)
	return h
}

// indexRecordings splits the events by recorder and counts dropped events by the gaps
// in the sequence numbers.
func (h *history) indexRecordings(events []trace.Event) {
	current := make(map[string]*recording)
	for _, event := range events {
		if header, ok := event.Body.(trace.Header); ok {
			r := &recording{vm: event.VM, header: header}
			current[event.VM] = r
			h.recordings = append(h.recordings, r)
			h.domains[event.VM] = header.Domain
		}
		r := current[event.VM]
		if r == nil {
			continue
		}
		if len(r.events) > 0 {
			h.dropped += event.Seq - 1 - min(event.Seq-1, r.events[len(r.events)-1].Seq)
		}
		r.events = append(r.events, event)
	}
	h.dropped += droppedAtEnd(h.recordings)
}

// droppedAtEnd counts the dropped events that the end events report beyond the gaps
// in the sequence numbers. trace.Writer numbers the events that it drops, which leaves
// only gaps; a recorder that does not number them is covered here.
func droppedAtEnd(recordings []*recording) uint64 {
	var extra uint64
	for _, r := range recordings {
		last := r.events[len(r.events)-1]
		end, ok := last.Body.(trace.End)
		if !ok {
			continue
		}
		gaps := last.Seq - uint64(len(r.events))
		extra += end.Dropped - min(end.Dropped, gaps)
	}
	return extra
}

// requestFor returns the request with the identifier and creates it if needed.
func (h *history) requestFor(id string) *request {
	r, ok := h.requests[id]
	if !ok {
		r = &request{id: id}
		h.requests[id] = r
		h.requestOrder = append(h.requestOrder, r)
	}
	return r
}

func (h *history) indexRequest(event trace.Event) {
	switch body := event.Body.(type) {
	case trace.Request:
		r := h.requestFor(body.Request)
		r.received = append(r.received, entry[trace.Request]{event, body})
	case trace.Admitted:
		r := h.requestFor(body.Request)
		r.admitted = append(r.admitted, entry[trace.Admitted]{event, body})
	case trace.Attempt:
		r := h.requestFor(body.Request)
		r.attempts = append(r.attempts, entry[trace.Attempt]{event, body})
		h.senders[attemptKey{body.Request, body.Attempt}] = event.VM
	case trace.AttemptOutcome:
		r := h.requestFor(body.Request)
		r.outcomes = append(r.outcomes, entry[trace.AttemptOutcome]{event, body})
	case trace.Answer:
		r := h.requestFor(body.Request)
		r.answers = append(r.answers, entry[trace.Answer]{event, body})
	case trace.RunStart:
		r := h.requestFor(body.Request)
		r.starts = append(r.starts, entry[trace.RunStart]{event, body})
	case trace.RunEnd:
		r := h.requestFor(body.Request)
		r.ends = append(r.ends, entry[trace.RunEnd]{event, body})
	case trace.RunRefused:
		r := h.requestFor(body.Request)
		r.refusals = append(r.refusals, entry[trace.RunRefused]{event, body})
	}
}

func (h *history) indexFault(event trace.Event) {
	body, ok := event.Body.(trace.Fault)
	if !ok {
		return
	}
	if body.Phase == trace.Begin {
		h.faults = append(h.faults, fault{span{event.Time, never}, body, event})
		return
	}
	for i := len(h.faults) - 1; i >= 0; i-- {
		if h.faults[i].ID == body.ID {
			h.faults[i].end = event.Time
			return
		}
	}
}

// faultDuring reports whether any fault was active between begin and end, both
// included.
func (h *history) faultDuring(begin, end int64) bool {
	for _, f := range h.faults {
		if f.begin <= end && begin <= f.end {
			return true
		}
	}
	return false
}

// deadline returns begin + grace. Every fault for which delays is true and that is
// active between begin and the deadline extends the deadline to the end of the fault +
// grace. The deadline is never if such a fault does not end.
func (h *history) deadline(begin int64, grace time.Duration, delays func(fault) bool) int64 {
	deadline := begin + int64(grace)
	for _, f := range h.faults {
		if f.begin > deadline || f.end <= begin || !delays(f) {
			continue
		}
		if f.end == never {
			return never
		}
		deadline = max(deadline, f.end+int64(grace))
	}
	return deadline
}

// blocksUpdates reports whether the fault keeps the VM from receiving accepted
// configuration changes.
func (h *history) blocksUpdates(f fault, vm string) bool {
	switch f.Kind {
	case trace.FaultLogDown, trace.FaultLogSlow, trace.FaultLogLosesAnswers:
		return true
	case trace.FaultVMPaused, trace.FaultVMPartitioned:
		return f.VM == vm
	case trace.FaultDomainPartitioned:
		return f.Domain != "" && f.Domain == h.domains[vm]
	default:
		return false
	}
}

// eventsOf returns the events of the entries.
func eventsOf[T trace.Body](entries []entry[T]) []trace.Event {
	events := make([]trace.Event, len(entries))
	for i, e := range entries {
		events[i] = e.event
	}
	return events
}
