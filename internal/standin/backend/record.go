package backend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	protocol "fireflyfield/internal/backend"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// traceRefusals maps the reasons in HeaderReason to the refusal reasons of the trace.
var traceRefusals = map[string]trace.Refusal{
	protocol.ReasonShed:     trace.RefusedLoadShed,
	protocol.ReasonDraining: trace.RefusedDraining,
	protocol.ReasonFence:    trace.RefusedFence,
	protocol.ReasonDeadline: trace.RefusedDeadline,
}

// TraceOptions returns the options of a trace writer for the stand-in. The instance
// identifies the recording process in the header of the trace.
func (o Options) TraceOptions(instance string) trace.WriterOptions {
	header := trace.Header{Role: trace.RoleBackend, Instance: instance, Domain: o.FailureDomain}
	return trace.WriterOptions{VM: o.Service + "/" + o.Name, Header: header}
}

func (s *Server) traceServer() trace.Server {
	return trace.Server{Service: s.options.Service, Name: s.options.Name, Domain: s.options.FailureDomain}
}

// KeyOf returns a function that extracts the owned key from a request, from the header
// or the path segment that the source names. The key is empty if the path has too few
// segments.
func KeyOf(source resource.KeySource) func(*http.Request) string {
	if source.Header != "" {
		return func(r *http.Request) string { return r.Header.Get(source.Header) }
	}
	return func(r *http.Request) string {
		segments := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
		if source.PathSegment > len(segments) {
			return ""
		}
		return segments[source.PathSegment-1]
	}
}

// attemptOf returns the attempt number of the request, or 1 if the sender gives no
// valid number.
func attemptOf(r *http.Request) uint32 {
	number, err := strconv.ParseUint(r.Header.Get(protocol.HeaderAttempt), 10, 32)
	if err != nil || number == 0 {
		return 1
	}
	return uint32(number)
}

// recordStateLocked records the server state if it differs from the last recorded one.
func (s *Server) recordStateLocked() {
	if s.options.Trace == nil {
		return
	}
	state := trace.ServerState{Server: s.traceServer(), Instance: s.instance, State: trace.State(s.loadLocked().State), Capacity: s.capacityLocked()}
	if state == s.recordedState {
		return
	}
	s.recordedState = state
	s.options.Trace.Record(state)
}

// recordStartLocked records the start of an admitted request, with its unit, fencing
// token and key as far as it has them.
func (s *Server) recordStartLocked(r *http.Request, a admission) {
	if s.options.Trace == nil {
		return
	}
	event := trace.RunStart{
		Request:     a.id,
		Attempt:     a.attempt,
		Server:      s.traceServer(),
		Workspace:   r.Header.Get(protocol.HeaderWorkspace),
		Credentials: credentialsOf(r),
	}
	unit, err := strconv.ParseUint(r.Header.Get(protocol.HeaderSlice), 10, 64)
	if err == nil {
		event.Unit = trace.Unit(unit)
	}
	fence, err := protocol.ParseFence(r.Header.Get(protocol.HeaderFence))
	if err == nil {
		event.Token = trace.Token{Term: fence.Term, Counter: fence.Counter}
	}
	if s.options.KeyOf != nil {
		event.Key = trace.Hash(keyspace.HashKey(s.options.Service, s.options.KeyOf(r)))
	}
	s.options.Trace.Record(event)
}

// credentialsOf returns the digests of all header and query values, each of which
// could be a caller key. The trace must not contain the values themselves.
func credentialsOf(r *http.Request) []trace.Digest {
	var digests []trace.Digest
	for name, values := range r.Header {
		for _, value := range values {
			if name == "Authorization" {
				_, value, _ = strings.Cut(value, " ")
			}
			digests = append(digests, trace.DigestOf([]byte(value)))
		}
	}
	for _, values := range r.URL.Query() {
		for _, value := range values {
			digests = append(digests, trace.DigestOf([]byte(value)))
		}
	}
	return digests
}

func (s *Server) recordRejectionLocked(r *http.Request, reason string) {
	s.options.Trace.Record(trace.RunRefused{
		Request: r.Header.Get(protocol.HeaderRequestID),
		Attempt: attemptOf(r),
		Server:  s.traceServer(),
		Reason:  traceRefusals[reason],
	})
}

// recordEndLocked records the end of a run with a complete response.
func (s *Server) recordEndLocked(a admission, response []byte) {
	if a.headOnly {
		response = nil
	}
	s.options.Trace.Record(trace.RunEnd{
		Request: a.id,
		Attempt: a.attempt,
		Server:  s.traceServer(),
		Status:  http.StatusOK,
		Bytes:   int64(len(response)),
		Digest:  trace.Hash(xxhash.Sum64(response)),
	})
}

// recordCancelLocked records a run that ended without a complete response.
func (s *Server) recordCancelLocked(a admission) {
	s.options.Trace.Record(trace.RunEnd{Request: a.id, Attempt: a.attempt, Server: s.traceServer(), Cancelled: true})
}

// expiryTime converts milliseconds since the start of the stand-in to a time.
func (s *Server) expiryTime(ms int64) time.Time {
	return s.started.Add(time.Duration(ms) * time.Millisecond)
}

// recordGrantsLocked records the changes that a grant request makes. It must be called
// before the request is applied.
func (s *Server) recordGrantsLocked(req protocol.GrantRequest, nowMs int64) {
	if s.options.Trace == nil {
		return
	}
	unexpired := len(s.grants.held) - s.recordExpiriesLocked(nowMs)
	server := s.traceServer()
	expires := s.expiryTime(req.ExpiresAtMs).UnixNano()
	if req.Renew && unexpired > 0 {
		s.options.Trace.Record(trace.Renew{Server: server, Instance: s.instance, Expires: expires})
	}
	for _, unit := range req.Revoke {
		s.options.Trace.Record(trace.Revoke{Server: server, Instance: s.instance, Unit: trace.Unit(unit)})
	}
	for _, grant := range req.Grant {
		token := trace.Token{Term: req.Term, Counter: grant.Counter}
		s.options.Trace.Record(trace.Grant{Server: server, Instance: s.instance, Unit: trace.Unit(grant.Unit), Token: token, Expires: expires})
	}
}

// recordExpiriesLocked records each expired lease at the time at which it expired, and
// returns their number.
func (s *Server) recordExpiriesLocked(nowMs int64) int {
	expired := 0
	for unit, grant := range s.grants.held {
		if nowMs >= grant.expiresMs {
			event := trace.Lapse{Server: s.traceServer(), Instance: s.instance, Unit: trace.Unit(unit)}
			s.options.Trace.RecordAt(s.expiryTime(grant.expiresMs), event)
			expired++
		}
	}
	return expired
}
