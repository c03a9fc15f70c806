package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	protocol "fireflyfield/internal/backend"
)

// heldGrant is the grant of one unit: its fencing token and the end of its lease.
type heldGrant struct {
	fence protocol.Fence
	// expiresMs is the end of the lease in milliseconds since the stand-in started.
	expiresMs int64
	// running counts the requests that started under the grant and have not ended.
	running int
	// revoked is set when no further request may start; the grant is removed once
	// the running requests have ended.
	revoked bool
}

// grantTable holds the grants of one instance. It is not safe for concurrent use.
type grantTable struct {
	// term is the highest term of a decider seen so far.
	term uint64
	// held maps units to their grants, including expired ones until the next apply.
	held map[uint64]*heldGrant
}

func newGrantTable() grantTable { return grantTable{held: make(map[uint64]*heldGrant)} }

// find returns the grant of the request's unit. The second result is false unless the
// grant is unexpired and the request carries its fencing token.
func (t *grantTable) find(r *http.Request, nowMs int64) (*heldGrant, bool) {
	unit, err := strconv.ParseUint(r.Header.Get(protocol.HeaderSlice), 10, 64)
	if err != nil {
		return nil, false
	}
	fence, err := protocol.ParseFence(r.Header.Get(protocol.HeaderFence))
	if err != nil {
		return nil, false
	}
	grant, ok := t.held[unit]
	return grant, ok && grant.fence == fence && nowMs < grant.expiresMs
}

// allows reports whether the request may start: its grant is in force and not revoked.
func (t *grantTable) allows(r *http.Request, nowMs int64) bool {
	grant, ok := t.find(r, nowMs)
	return ok && !grant.revoked
}

// begin counts the request as running under its grant.
func (t *grantTable) begin(r *http.Request, nowMs int64) {
	if grant, ok := t.find(r, nowMs); ok {
		grant.running++
	}
}

// commit counts the request as ended and reports whether its grant is still in force.
// A request that ran past the end of its lease must not take effect, because the unit
// may have another owner by then.
func (t *grantTable) commit(r *http.Request, nowMs int64) bool {
	grant, ok := t.find(r, nowMs)
	if !ok {
		return false
	}
	grant.running--
	if grant.revoked && grant.running == 0 {
		t.remove(grant)
	}
	return true
}

// remove deletes the grant from the table.
func (t *grantTable) remove(grant *heldGrant) {
	for unit, held := range t.held {
		if held == grant {
			delete(t.held, unit)
		}
	}
}

// apply removes expired grants and then renews, revokes and grants as requested.
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
		t.revoke(unit)
	}
	for _, grant := range req.Grant {
		t.held[grant.Unit] = &heldGrant{fence: protocol.Fence{Term: req.Term, Counter: grant.Counter}, expiresMs: req.ExpiresAtMs}
	}
}

// revoke removes the grant of the unit, or marks it as revoked while requests run
// under it.
func (t *grantTable) revoke(unit uint64) {
	grant, ok := t.held[unit]
	if !ok {
		return
	}
	grant.revoked = true
	if grant.running == 0 {
		delete(t.held, unit)
	}
}

// renew extends the lease of every held grant. Each grant keeps its fencing token, so
// that requests routed by the previous decider's assignment are still accepted.
func (t *grantTable) renew(req protocol.GrantRequest) {
	for _, grant := range t.held {
		grant.expiresMs = max(grant.expiresMs, req.ExpiresAtMs)
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
		// The reply proves to the new decider that messages of earlier terms are
		// rejected from now on.
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

// laggingReport is a load report that is refreshed only once it is LoadLag old.
type laggingReport struct {
	load       protocol.Load
	measuredAt time.Time
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.report.measuredAt) >= s.options.LoadLag {
		s.report = laggingReport{load: s.loadLocked(), measuredAt: time.Now()}
	}
	load := s.report.load
	load.AgeMs = time.Since(s.report.measuredAt).Milliseconds()
	if s.faults.MisreportLoad {
		load.InFlight = 0
		load.State = protocol.StateWarm
	}
	writeJSON(w, http.StatusOK, load)
}

func (s *Server) loadLocked() protocol.Load {
	state := protocol.StateWarm
	if s.responses < s.options.WarmAfter {
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
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
