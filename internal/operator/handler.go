// Package operator serves the operators' listener: the resources, their status,
// health and metrics.
package operator

import (
	"net/http"
	"time"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"

	"go.uber.org/zap"
)

// DefaultApplyTimeout bounds the wait for the decision on an apply. It is below
// the 9 s within which a change is in force everywhere.
const DefaultApplyTimeout = 8 * time.Second

// StatusSource reports what the VM knows beyond the configuration. Its methods
// are called by several goroutines and must not block.
type StatusSource interface {
	// Overview returns the state of the system. Revision, ConfirmedAgeMillis and
	// Fault are filled in by the handler.
	Overview() api.Overview
	// Ready returns why the VM can't serve callers, or nil.
	Ready() error
}

// Options configures the handler.
type Options struct {
	Follower *config.Follower
	Status   StatusSource
	// Token is the bearer token of the operators; empty means that none is needed,
	// which is safe on loopback only.
	Token string
	// Metrics serves /metrics; nil leaves the path out.
	Metrics http.Handler
	// ApplyTimeout defaults to DefaultApplyTimeout.
	ApplyTimeout time.Duration
	// Stopping is closed when the VM stops; watches then end, so that their clients
	// continue at another VM. It may be nil.
	Stopping <-chan struct{}
	Logger   *zap.Logger
}

// handler implements the API.
type handler struct {
	Options
	state   *config.State
	watches chan struct{}
}

// NewHandler returns the handler of the operators' listener.
func NewHandler(options Options) http.Handler {
	if options.ApplyTimeout == 0 {
		options.ApplyTimeout = DefaultApplyTimeout
	}
	h := &handler{Options: options, state: options.Follower.State(), watches: make(chan struct{}, maxWatches)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathHealthz, h.healthz)
	mux.HandleFunc("GET "+api.PathReadyz, h.readyz)
	h.guarded(mux, "GET "+api.PathResources, h.list)
	h.guarded(mux, "GET "+api.PathResources+"/{kind}", h.list)
	h.guarded(mux, "GET "+api.PathResources+"/{kind}/{name}", h.get)
	h.guarded(mux, "DELETE "+api.PathResources+"/{kind}/{name}", h.delete)
	h.guarded(mux, "POST "+api.PathApply, h.apply)
	h.guarded(mux, "GET "+api.PathWatch, h.watch)
	h.guarded(mux, "GET "+api.PathStatus, h.status)
	if options.Metrics != nil {
		h.guarded(mux, "GET "+api.PathMetrics, options.Metrics.ServeHTTP)
	}
	h.guarded(mux, "/", notFound)
	return mux
}

func (h *handler) guarded(mux *http.ServeMux, pattern string, next http.HandlerFunc) {
	mux.Handle(pattern, requireToken(h.Token, next))
}

func (h *handler) healthz(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}

func (h *handler) readyz(w http.ResponseWriter, r *http.Request) {
	if h.Follower.Status().ConfirmedAt.IsZero() {
		unavailable(w, "the configuration has not been read to its end yet")
		return
	}
	if err := h.Status.Ready(); err != nil {
		unavailable(w, err.Error())
		return
	}
	h.healthz(w, r)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, api.Problem{Type: api.ProblemNotFound, Title: "Not found", Status: http.StatusNotFound, Detail: "there is no " + r.Method + " " + r.URL.Path})
}
