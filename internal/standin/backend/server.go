// Package backend is a stand-in for a backend server, for development and tests. It
// decides whether a request may run, by grants, drain state, warm-up, free slots and
// deadline, and echoes the request; the router decides who is granted what and where
// requests go.
package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	protocol "fireflyfield/internal/backend"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/trace"
)

// Options configures a stand-in backend server.
type Options struct {
	Service string
	Name    string
	// Keyed is set for a service that is divided by key. Its requests need a valid
	// fencing token if ChecksGrants is set as well.
	Keyed        bool
	ChecksGrants bool
	// Slots is the number of requests that a warm stand-in runs concurrently.
	Slots int
	// RunTime is the duration of one request.
	RunTime time.Duration
	// WarmAfter is the number of responses after which the warm-up is over. Until then
	// the stand-in can run one request at a time, and one more for every
	// WarmAfter/warmSteps responses, up to Slots.
	WarmAfter int
	// LoadLag is the minimum age at which the load report is refreshed.
	LoadLag time.Duration
	// FailureDomain is used only in the trace.
	FailureDomain string
	// KeyOf returns the owned key of a request, for the trace; nil for a service that
	// is not divided by key.
	KeyOf func(*http.Request) string
	// Trace records events; nil for none. The stand-in does not close it.
	Trace *trace.Writer
	// OnRun, if set, is called after each request that ran.
	OnRun func(Run)
}

// warmSteps is the number of steps into which the warm-up is divided.
const warmSteps = 4

// Run describes one request that ran and took effect.
type Run struct {
	RequestID string    `json:"request_id"`
	Workspace string    `json:"workspace"`
	Unit      uint64    `json:"unit"`
	Fence     string    `json:"fence"`
	Instance  string    `json:"instance"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end"`
	// Digest is the SHA-256 of the response body, in hexadecimal.
	Digest string `json:"digest"`
}

// Echo is the body of a successful response. It repeats the request.
type Echo struct {
	Service   string      `json:"service"`
	Server    string      `json:"server"`
	Instance  string      `json:"instance"`
	Method    string      `json:"method"`
	Target    string      `json:"target"`
	Workspace string      `json:"workspace"`
	RequestID string      `json:"request_id"`
	Header    http.Header `json:"header"`
	BodyBytes int         `json:"body_bytes"`
	BodyHash  string      `json:"body_sha256"`
}

// Faults are the injected faults of a stand-in. They stay until they are replaced.
type Faults struct {
	// SlowFactor multiplies RunTime; zero means one.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// CutAfterBytes breaks the connection of each longer response after this number of
	// bytes of its body; zero means never.
	CutAfterBytes int `json:"cut_after_bytes,omitempty"`
	// MisreportLoad makes the load report show a warm server without requests.
	MisreportLoad bool `json:"misreport_load,omitempty"`
	// Restart replaces the instance once, when the faults are set.
	Restart bool `json:"restart,omitempty"`
}

// Server is a stand-in backend server. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	options Options
	started time.Time
	mux     *http.ServeMux

	mu       sync.Mutex
	instance string
	// instanceDone is closed when the instance is replaced, which aborts its running
	// requests.
	instanceDone chan struct{}
	grants       grantTable
	inFlight     map[string]admission
	// responses counts the complete responses of the instance; they end the warm-up.
	responses int
	crashes   int

	draining bool
	faults   Faults
	runs     []Run
	report   laggingReport
	// recordedState is the state last recorded in the trace.
	recordedState trace.ServerState
}

// New returns a cold stand-in without any grant.
func New(options Options) *Server {
	s := &Server{options: options, started: time.Now(), mux: http.NewServeMux()}
	s.restartLocked()
	s.mux.HandleFunc("POST "+protocol.PathGrants, s.handleGrants)
	s.mux.HandleFunc("GET "+protocol.PathHealth, s.handleHealth)
	s.mux.HandleFunc("GET "+protocol.PathLoad, s.handleLoad)
	s.mux.HandleFunc("POST "+protocol.PathDrain, s.handleDrain)
	s.mux.HandleFunc("DELETE "+protocol.PathRequests+"{id}", s.handleCancel)
	s.mux.HandleFunc("PUT /control/faults", s.handleFaults)
	s.mux.HandleFunc("GET /control/runs", s.handleRuns)
	s.mux.HandleFunc("/", s.handleRequest)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// restartLocked replaces the instance by a cold one without any grant, and cancels the
// running requests.
func (s *Server) restartLocked() {
	if s.instanceDone != nil {
		close(s.instanceDone)
	}
	for _, running := range s.inFlight {
		s.recordCancelLocked(running)
	}
	s.instance = uuid.NewString()
	s.instanceDone = make(chan struct{})
	s.grants = newGrantTable()
	s.inFlight = make(map[string]admission)
	s.responses = 0
	s.draining = false
	s.recordStateLocked()
}

// Restart replaces the instance, like a crash followed by a start.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartLocked()
}

// Instance returns the identifier of the current instance.
func (s *Server) Instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// Runs returns the requests that ran and took effect, on any instance.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Crashes returns the number of crashes by overload while cold.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// SetFaults replaces the injected faults, and restarts the stand-in if Restart is set.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Restart {
		faults.Restart = false
		s.restartLocked()
	}
	s.faults = faults
}

// capacityLocked returns the number of requests that the instance can run
// concurrently at its present stage of the warm-up.
func (s *Server) capacityLocked() int {
	if s.responses >= s.options.WarmAfter {
		return s.options.Slots
	}
	step := max(1, s.options.WarmAfter/warmSteps)
	return min(s.options.Slots, 1+s.responses/step)
}

// nowMs returns the monotonic time since the start of the stand-in in milliseconds.
func (s *Server) nowMs() int64 { return time.Since(s.started).Milliseconds() }

// rejectionLocked returns the reason for which the request must not run and the HTTP
// status of its rejection; the reason is empty if the request may run.
func (s *Server) rejectionLocked(r *http.Request) (string, int) {
	if s.draining {
		return protocol.ReasonDraining, http.StatusServiceUnavailable
	}
	if deadlinePassed(r) {
		return protocol.ReasonDeadline, http.StatusServiceUnavailable
	}
	if s.requiresGrant() && !s.grants.allows(r, s.nowMs()) {
		return protocol.ReasonFence, http.StatusConflict
	}
	if len(s.inFlight) >= s.capacityLocked() {
		return protocol.ReasonShed, http.StatusServiceUnavailable
	}
	return "", 0
}

// requiresGrant reports whether requests run only under a grant.
func (s *Server) requiresGrant() bool { return s.options.Keyed && s.options.ChecksGrants }

func deadlinePassed(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(protocol.HeaderDeadline), 10, 64)
	return err == nil && time.Now().UnixMilli() > ms
}

// admission is the state of one admitted request.
type admission struct {
	id           string
	attempt      uint32
	headOnly     bool
	instance     string
	instanceDone chan struct{}
	cancelled    chan struct{}
	runTime      time.Duration
	cutAfter     int
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client disconnected before the request was complete
	}
	start := time.Now()
	admitted, ok := s.admit(w, r)
	if !ok {
		return
	}
	if !s.simulateRun(r, admitted) {
		s.commit(r, admitted) // only decrements the grant's counter; the run has no effect
		s.cancel(admitted)
		panic(http.ErrAbortHandler)
	}
	if !s.commit(r, admitted) {
		s.cancel(admitted)
		reject(w, protocol.ReasonFence, http.StatusConflict)
		return
	}
	response := s.echoBody(r, admitted, body)
	s.recordRun(r, admitted, start, response)
	if !s.finish(admitted, response) {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, admitted, response)
}

// commit reports whether a request that has run may take effect: its instance is still
// the current one and its grant, if it needs one, is in force.
func (s *Server) commit(r *http.Request, a admission) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance != a.instance {
		return false
	}
	return !s.requiresGrant() || s.grants.commit(r, s.nowMs())
}

// reject responds that the request did not run.
func reject(w http.ResponseWriter, reason string, status int) {
	w.Header().Set(protocol.HeaderOutcome, outcome.NotRun.String())
	w.Header().Set(protocol.HeaderReason, reason)
	w.WriteHeader(status)
}

// admit starts the request, or rejects it and returns false. Overload while cold
// crashes the instance.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (admission, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if acceptedByEndedInstance(r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(protocol.HeaderInstance, s.instance)
	reason, status := s.rejectionLocked(r)
	if reason != "" {
		s.recordRejectionLocked(r, reason)
	}
	if reason == protocol.ReasonShed && s.responses < s.options.WarmAfter {
		// A cold backend server crashes under more load than its capacity.
		s.crashes++
		s.restartLocked()
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		reject(w, reason, status)
		return admission{}, false
	}
	s.grants.begin(r, s.nowMs())
	slow := max(1, s.faults.SlowFactor)
	admitted := admission{
		id:           r.Header.Get(protocol.HeaderRequestID),
		attempt:      attemptOf(r),
		headOnly:     r.Method == http.MethodHead,
		instance:     s.instance,
		instanceDone: s.instanceDone,
		cancelled:    make(chan struct{}),
		runTime:      time.Duration(float64(s.options.RunTime) * slow),
		cutAfter:     s.faults.CutAfterBytes,
	}
	s.inFlight[admitted.id] = admitted
	s.recordStartLocked(r, admitted)
	return admitted, true
}

// simulateRun waits for the run time. It returns false if the run ended early: by a
// restart, by a cancellation or because the client disconnected.
func (s *Server) simulateRun(r *http.Request, a admission) bool {
	timer := time.NewTimer(a.runTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.instanceDone:
		return false
	case <-a.cancelled:
		return false
	case <-r.Context().Done():
		return false
	}
}

// finish frees the slot of a run whose response is complete. It returns false if the
// run was cancelled before.
func (s *Server) finish(a admission, response []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runningLocked(a) {
		return false
	}
	delete(s.inFlight, a.id)
	s.recordEndLocked(a, response)
	s.responses++
	s.recordStateLocked()
	return true
}

// cancel frees the slot of a run that ended without a complete response.
func (s *Server) cancel(a admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runningLocked(a) {
		return
	}
	delete(s.inFlight, a.id)
	s.recordCancelLocked(a)
}

// runningLocked reports whether the admitted request is still in flight. A later
// request may have the same identifier, so that the channels are compared.
func (s *Server) runningLocked(a admission) bool {
	running, ok := s.inFlight[a.id]
	return ok && running.cancelled == a.cancelled
}

// echoBody returns the JSON form of the Echo of the request.
func (s *Server) echoBody(r *http.Request, a admission, body []byte) []byte {
	sum := sha256.Sum256(body)
	encoded, err := json.Marshal(Echo{
		Service:   s.options.Service,
		Server:    s.options.Name,
		Instance:  a.instance,
		Method:    r.Method,
		Target:    r.URL.RequestURI(),
		Workspace: r.Header.Get(protocol.HeaderWorkspace),
		RequestID: a.id,
		Header:    r.Header,
		BodyBytes: len(body),
		BodyHash:  hex.EncodeToString(sum[:]),
	})
	if err != nil {
		panic(err) // unreachable: all fields have a JSON form
	}
	return append(encoded, '\n')
}

// recordRun adds the request to Runs and calls OnRun.
func (s *Server) recordRun(r *http.Request, a admission, start time.Time, response []byte) {
	unit, _ := strconv.ParseUint(r.Header.Get(protocol.HeaderSlice), 10, 64)
	sum := sha256.Sum256(response)
	run := Run{
		RequestID: a.id,
		Workspace: r.Header.Get(protocol.HeaderWorkspace),
		Unit:      unit,
		Fence:     r.Header.Get(protocol.HeaderFence),
		Instance:  a.instance,
		Start:     start,
		End:       time.Now(),
		Digest:    hex.EncodeToString(sum[:]),
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	if s.options.OnRun != nil {
		s.options.OnRun(run)
	}
}

// writeResponse writes the response, or breaks the connection after cutAfter bytes.
func writeResponse(w http.ResponseWriter, a admission, response []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	w.WriteHeader(http.StatusOK)
	if a.cutAfter > 0 && a.cutAfter < len(response) {
		_, _ = w.Write(response[:a.cutAfter])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(response) // fails only if the client has disconnected
}

// InFlight returns the number of requests that are running.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inFlight)
}
