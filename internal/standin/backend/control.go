package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	protocol "fireflyfield/internal/backend"
)

// heldGrant is one unit with the token and the end of its lease.
type heldGrant struct {
	fence     protocol.Fence
	expiresMs int64
}

// grantTable holds the grants of one instance.
type grantTable struct {
	term uint64
	held map[uint64]heldGrant
}

func newGrantTable() grantTable { return grantTable{held: make(map[uint64]heldGrant)} }

// allows reports whether the request carries the token of a grant in force.
func (t *grantTable) allows(r *http.Request, nowMs int64) bool {
	unit, err := strconv.ParseUint(r.Header.Get(protocol.HeaderSlice), 10, 64)
	if err != nil {
		return false
	}
	fence, err := protocol.ParseFence(r.Header.Get(protocol.HeaderFence))
	if err != nil {
		return false
	}
	grant, ok := t.held[unit]
	return ok && grant.fence == fence && nowMs < grant.expiresMs
}

func (t *grantTable) apply(req protocol.GrantRequest, nowMs int64) {
	t.term = req.Term
	for unit, grant := range t.held {
		if nowMs >= grant.expiresMs {
			delete(t.held, unit)
		}
	}
	if req.Renew {
		t.renew(req)
	}
	for _, unit := range req.Revoke {
		delete(t.held, unit)
	}
	for _, grant := range req.Grant {
		t.held[grant.Unit] = heldGrant{protocol.Fence{Term: req.Term, Counter: grant.Counter}, req.ExpiresAtMs}
	}
}

// renew extends every grant in force; each keeps its token, so that requests
// routed by the previous decider's map are still accepted.
func (t *grantTable) renew(req protocol.GrantRequest) {
	for unit, grant := range t.held {
		grant.expiresMs = max(grant.expiresMs, req.ExpiresAtMs)
		t.held[unit] = grant
	}
}

func (s *Server) handleGrants(w http.ResponseWriter, r *http.Request) {
	var req protocol.GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "malformed grant request", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowMs()
	status := http.StatusOK
	switch {
	case req.Term < s.grants.term || req.Instance != "" && req.Instance != s.instance:
		status = http.StatusConflict
	case req.Instance == "":
		// The answer proves to the new decider that no earlier one is obeyed.
		s.grants.term = req.Term
	default:
		s.recordGrantsLocked(req, now)
		s.grants.apply(req, now)
	}
	writeJSON(w, status, s.grantReplyLocked(now))
}

func (s *Server) grantReplyLocked(now int64) protocol.GrantReply {
	reply := protocol.GrantReply{Instance: s.instance, NowMs: now, Term: s.grants.term, Held: []protocol.HeldGrant{}}
	for unit, grant := range s.grants.held {
		if now < grant.expiresMs {
			reply.Held = append(reply.Held, protocol.HeldGrant{Unit: unit, Term: grant.fence.Term, Counter: grant.fence.Counter})
		}
	}
	return reply
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// laggingReport is a load report that is refreshed after LoadLag only.
type laggingReport struct {
	load protocol.Load
	at   time.Time
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.report.at) >= s.options.LoadLag {
		s.report = laggingReport{load: s.loadLocked(), at: time.Now()}
	}
	load := s.report.load
	load.AgeMs = time.Since(s.report.at).Milliseconds()
	if s.faults.MisreportLoad {
		load.InFlight = 0
		load.State = protocol.StateWarm
	}
	writeJSON(w, http.StatusOK, load)
}

func (s *Server) loadLocked() protocol.Load {
	state := protocol.StateWarm
	if s.answered < s.options.WarmAfter {
		state = protocol.StateCold
	}
	if s.draining {
		state = protocol.StateDraining
	}
	return protocol.Load{Instance: s.instance, Slots: s.options.Slots, InFlight: len(s.inFlight), State: state}
}

func (s *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.draining = true
	s.recordStateLocked()
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if running, ok := s.inFlight[r.PathValue("id")]; ok {
		close(running.cancelled)
		delete(s.inFlight, running.id)
		s.recordCancelLocked(running)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, "malformed faults", http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the client may be gone
}
