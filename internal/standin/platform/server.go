// Package platform is a stand-in for the platform, for development and tests: the
// shared log and the list of VMs, which lags behind. It keeps everything in memory
// and leaves the meaning of records to its clients.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	protocol "fireflyfield/internal/platform"
)

// Options configures a stand-in platform.
type Options struct {
	// RetainRecords is the number of records kept in each stream; zero keeps all.
	RetainRecords int
	// ListLag is the delay after which the VM list shows an added or changed VM.
	ListLag time.Duration
}

const (
	maxWait       = 30 * time.Second
	maxReadBatch  = 4096
	maxAppendSize = 16 << 20
)

// Faults are the injected faults of a stand-in. They stay until they are replaced.
type Faults struct {
	// Down rejects every call with status 503.
	Down bool `json:"down"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers makes appends take effect but drops their responses.
	LoseAnswers bool `json:"lose_answers"`
}

// Server is a stand-in platform. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	vms     map[string]listedVM
	faults  Faults
}

// listedVM is a VM and the time from which the list shows it.
type listedVM struct {
	protocol.VM
	visibleFrom time.Time
}

// New returns a stand-in with an empty log and an empty VM list.
func New(options Options) *Server {
	s := &Server{
		options: options,
		mux:     http.NewServeMux(),
		streams: make(map[string]*stream),
		vms:     make(map[string]listedVM),
	}
	s.mux.HandleFunc("POST /v1/streams/{stream}/records", s.withFaults(s.handleAppend))
	s.mux.HandleFunc("GET /v1/streams/{stream}/records", s.withFaults(s.handleRead))
	s.mux.HandleFunc("GET /v1/vms", s.withFaults(s.handleVMs))
	s.mux.HandleFunc("PUT /vms/{name}", s.handlePutVM)
	s.mux.HandleFunc("DELETE /vms/{name}", s.handleDeleteVM)
	s.mux.HandleFunc("PUT /faults", s.handleFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetVM adds or replaces a VM. A replaced VM is absent from the list until
// Options.ListLag has passed.
func (s *Server) SetVM(vm protocol.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[vm.Name] = listedVM{VM: vm, visibleFrom: time.Now().Add(s.options.ListLag)}
}

// RemoveVM removes a VM from the list at once.
func (s *Server) RemoveVM(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, name)
}

// FirstOffset returns the oldest retained offset of the stream.
func (s *Server) FirstOffset(name string) uint64 {
	found := s.stream(name)
	found.mu.Lock()
	defer found.mu.Unlock()
	return found.firstOffset
}

// withFaults wraps a handler with the injected delay and outage.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		if !sleep(r.Context(), time.Duration(faults.DelayMs)*time.Millisecond) {
			return
		}
		if faults.Down {
			http.Error(w, "the log service is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// sleep waits for d and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stream returns the stream of the name, and creates it if it does not exist.
func (s *Server) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, ok := s.streams[name]
	if !ok {
		existing = newStream(s.options.RetainRecords)
		s.streams[name] = existing
	}
	return existing
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req protocol.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendSize)).Decode(&req); err != nil {
		http.Error(w, "malformed append", http.StatusBadRequest)
		return
	}
	offsets := s.stream(r.PathValue("stream")).append(req.Records)
	s.mu.Lock()
	lose := s.faults.LoseAnswers
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, protocol.AppendReply{Offsets: offsets})
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := max(1, parseUint(query.Get("from")))
	limit := int(min(maxReadBatch, max(1, parseUint(query.Get("max")))))
	wait := min(maxWait, time.Duration(parseUint(query.Get("wait_ms")))*time.Millisecond)
	reply, retained := s.stream(r.PathValue("stream")).read(r.Context(), from, limit, wait)
	if !retained {
		writeJSON(w, http.StatusGone, reply)
		return
	}
	if s.down() {
		http.Error(w, "the log service is down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// down reports whether an outage is injected. It is checked again after a long poll,
// so that a read that was waiting when the outage began fails too.
func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// parseUint returns 0 for a missing or malformed number.
func parseUint(s string) uint64 {
	value, _ := strconv.ParseUint(s, 10, 64)
	return value
}

func (s *Server) handleVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	reply := protocol.VMList{VMs: []protocol.VM{}}
	now := time.Now()
	for _, vm := range s.vms {
		if !now.Before(vm.visibleFrom) {
			reply.VMs = append(reply.VMs, vm.VM)
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) handlePutVM(w http.ResponseWriter, r *http.Request) {
	var vm protocol.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, "malformed VM", http.StatusBadRequest)
		return
	}
	vm.Name = r.PathValue("name")
	s.SetVM(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDeleteVM(w http.ResponseWriter, r *http.Request) {
	s.RemoveVM(r.PathValue("name"))
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

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
