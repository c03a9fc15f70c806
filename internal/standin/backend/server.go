// Package backend is a small stand-in for a backend server. It takes fenced
// grants, drains, starts cold, sheds load and accepts cancellation and
// deadlines. It exists for development and tests.
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

// Options configure a stand-in.
type Options struct {
	Service string
	Name    string
	// Keyed requests need a fencing token when ChecksGrants is set.
	Keyed        bool
	ChecksGrants bool
	// Slots is the number of requests that run at once when warm.
	Slots int
	// RunTime is the time that one request takes.
	RunTime time.Duration
	// WarmAfter is the number of answers after which a cold start is over; until
	// then the stand-in bears one request and one more for each WarmStep answers.
	WarmAfter int
	// LoadLag delays the load report.
	LoadLag time.Duration
	// FailureDomain is needed for a trace only.
	FailureDomain string
	// KeyOf returns the owned key of a request for a trace; nil for a service that is
	// not divided by key.
	KeyOf func(*http.Request) string
	// Trace records events; nil for none. Whoever made it closes it.
	Trace *trace.Writer
	// OnRun, if set, is told of each request that ran.
	OnRun func(Run)
}

// warmSteps is the number of steps from one slot to all during a cold start.
const warmSteps = 4

// Run is one request that ran.
type Run struct {
	RequestID string    `json:"request_id"`
	Workspace string    `json:"workspace"`
	Unit      uint64    `json:"unit"`
	Fence     string    `json:"fence"`
	Instance  string    `json:"instance"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end"`
	// Digest is the SHA-256 of the answer body.
	Digest string `json:"digest"`
}

// Echo is the body of a successful answer.
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

// Faults change the behaviour of a stand-in until they are set again.
type Faults struct {
	// SlowFactor multiplies RunTime; zero means one.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// CutAfterBytes ends answers early after so many bytes of the body.
	CutAfterBytes int `json:"cut_after_bytes,omitempty"`
	// MisreportLoad makes the load report say idle and warm.
	MisreportLoad bool `json:"misreport_load,omitempty"`
	// Restart replaces the instance at once.
	Restart bool `json:"restart,omitempty"`
}

// Server implements http.Handler.
type Server struct {
	options Options
	started time.Time
	mux     *http.ServeMux

	mu       sync.Mutex
	instance string
	// epoch ends when the instance is replaced, which cuts its running requests.
	epoch    chan struct{}
	grants   grantTable
	inFlight map[string]admission
	answered int
	crashes  int

	draining bool
	faults   Faults
	runs     []Run
	report   laggingReport
	// recordedState is the one that the trace has.
	recordedState trace.ServerState
}

// New returns a stand-in in cold start.
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

// restartLocked begins a new instance in cold start without any grant.
func (s *Server) restartLocked() {
	if s.epoch != nil {
		close(s.epoch)
	}
	for _, running := range s.inFlight {
		s.recordCancelLocked(running)
	}
	s.instance = uuid.NewString()
	s.epoch = make(chan struct{})
	s.grants = newGrantTable()
	s.inFlight = make(map[string]admission)
	s.answered = 0
	s.draining = false
	s.recordStateLocked()
}

// Restart replaces the instance, as a crash followed by a start would.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartLocked()
}

// Instance returns the identifier of the present instance.
func (s *Server) Instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// Runs returns the requests that ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Crashes counts falls under overload during a cold start.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Restart {
		faults.Restart = false
		s.restartLocked()
	}
	s.faults = faults
}

// bearsLocked returns the number of requests that the instance bears at once.
func (s *Server) bearsLocked() int {
	if s.answered >= s.options.WarmAfter {
		return s.options.Slots
	}
	step := max(1, s.options.WarmAfter/warmSteps)
	return min(s.options.Slots, 1+s.answered/step)
}

func (s *Server) nowMs() int64 { return time.Since(s.started).Milliseconds() }

// refusal is the reason why a request does not run, or empty.
func (s *Server) refusalLocked(r *http.Request) (string, int) {
	if s.draining {
		return protocol.ReasonDraining, http.StatusServiceUnavailable
	}
	if deadlinePassed(r) {
		return protocol.ReasonDeadline, http.StatusServiceUnavailable
	}
	if s.fenced() && !s.grants.allows(r, s.nowMs()) {
		return protocol.ReasonFence, http.StatusConflict
	}
	if len(s.inFlight) >= s.bearsLocked() {
		return protocol.ReasonShed, http.StatusServiceUnavailable
	}
	return "", 0
}

// fenced reports whether requests need a grant.
func (s *Server) fenced() bool { return s.options.Keyed && s.options.ChecksGrants }

func deadlinePassed(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(protocol.HeaderDeadline), 10, 64)
	return err == nil && time.Now().UnixMilli() > ms
}

// admission is what one request needs to run and to finish.
type admission struct {
	id        string
	attempt   uint32
	headOnly  bool
	instance  string
	epoch     chan struct{}
	cancelled chan struct{}
	runTime   time.Duration
	cutAfter  int
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender went away before the request was complete
	}
	start := time.Now()
	admitted, ok := s.admit(w, r)
	if !ok {
		return
	}
	if !s.wait(r, admitted) {
		s.commit(r, admitted) // gives the grant's count back; nothing takes effect
		s.cancel(admitted)
		panic(http.ErrAbortHandler)
	}
	if !s.commit(r, admitted) {
		s.cancel(admitted)
		refuse(w, protocol.ReasonFence, http.StatusConflict)
		return
	}
	answer := s.answer(r, admitted, body)
	s.record(r, admitted, start, answer)
	if !s.finish(admitted, answer) {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, admitted, answer)
}

// commit reports whether the request may take effect.
func (s *Server) commit(r *http.Request, a admission) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance != a.instance {
		return false
	}
	return !s.fenced() || s.grants.commit(r, s.nowMs())
}

func refuse(w http.ResponseWriter, reason string, status int) {
	w.Header().Set(protocol.HeaderOutcome, outcome.NotRun.String())
	w.Header().Set(protocol.HeaderReason, reason)
	w.WriteHeader(status)
}

func (s *Server) admit(w http.ResponseWriter, r *http.Request) (admission, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if outlived(r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(protocol.HeaderInstance, s.instance)
	reason, status := s.refusalLocked(r)
	if reason != "" {
		s.recordRefusalLocked(r, reason)
	}
	if reason == protocol.ReasonShed && s.answered < s.options.WarmAfter {
		// A cold backend server falls over under more than it bears.
		s.crashes++
		s.restartLocked()
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		refuse(w, reason, status)
		return admission{}, false
	}
	s.grants.begin(r, s.nowMs())
	slow := max(1, s.faults.SlowFactor)
	admitted := admission{
		id:        r.Header.Get(protocol.HeaderRequestID),
		attempt:   attemptOf(r),
		headOnly:  r.Method == http.MethodHead,
		instance:  s.instance,
		epoch:     s.epoch,
		cancelled: make(chan struct{}),
		runTime:   time.Duration(float64(s.options.RunTime) * slow),
		cutAfter:  s.faults.CutAfterBytes,
	}
	s.inFlight[admitted.id] = admitted
	s.recordStartLocked(r, admitted)
	return admitted, true
}

// wait spends the run time; it returns false when the run was ended early.
func (s *Server) wait(r *http.Request, a admission) bool {
	timer := time.NewTimer(a.runTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.epoch:
		return false
	case <-a.cancelled:
		return false
	case <-r.Context().Done():
		return false
	}
}

// finish frees the slot of a run whose answer is complete. It returns false when
// the run was cancelled before.
func (s *Server) finish(a admission, answer []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runningLocked(a) {
		return false
	}
	delete(s.inFlight, a.id)
	s.recordEndLocked(a, answer)
	s.answered++
	s.recordStateLocked()
	return true
}

// cancel frees the slot of a run that ended early.
func (s *Server) cancel(a admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runningLocked(a) {
		return
	}
	delete(s.inFlight, a.id)
	s.recordCancelLocked(a)
}

func (s *Server) runningLocked(a admission) bool {
	running, ok := s.inFlight[a.id]
	return ok && running.cancelled == a.cancelled
}

func (s *Server) answer(r *http.Request, a admission, body []byte) []byte {
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
		panic(err) // the struct holds only strings and numbers
	}
	return append(encoded, '\n')
}

func (s *Server) record(r *http.Request, a admission, start time.Time, answer []byte) {
	unit, _ := strconv.ParseUint(r.Header.Get(protocol.HeaderSlice), 10, 64)
	sum := sha256.Sum256(answer)
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

func writeAnswer(w http.ResponseWriter, a admission, answer []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	if a.cutAfter > 0 && a.cutAfter < len(answer) {
		_, _ = w.Write(answer[:a.cutAfter])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer) // the sender may be gone
}

// InFlight returns the number of requests that run now.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inFlight)
}
