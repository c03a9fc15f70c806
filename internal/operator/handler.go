// Package operator serves the operators' HTTP listener: it reads, changes and
// watches resources and reports their status, health and metrics. Package config
// decides whether a change is accepted; the state of the VMs comes from a
// StatusSource.
package operator

import (
	"net/http"
	"time"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"

	"go.uber.org/zap"
)

// DefaultApplyTimeout is how long the handler waits for the decision on a change.
// It is below the 9 s within which an accepted change is in force on every VM.
const DefaultApplyTimeout = 8 * time.Second

// StatusSource reports the state of the VMs, backend servers, workspaces and drains.
// Its methods are called concurrently and must not block.
type StatusSource interface {
	// Overview returns the state of the system. Revision, ConfirmedAgeMillis and
	// Fault are filled in by the handler.
	Overview() api.Overview
	// Ready returns nil if the VM can serve callers, and otherwise the reason why not.
	Ready() error
}

// Options configures the handler that NewHandler returns.
type Options struct {
	Follower *config.Follower
	Status   StatusSource
	// Token is the bearer token of the operators. If it is empty, requests need no
	// token, which is safe on a loopback address only.
	Token string
	// Metrics serves /metrics. If it is nil, the path is not found.
	Metrics http.Handler
	// ApplyTimeout bounds the wait for the decision on a change. Zero means
	// DefaultApplyTimeout.
	ApplyTimeout time.Duration
	// Stopping is closed when the VM stops. Watches then end, so that their clients
	// continue at another VM. It may be nil.
	Stopping <-chan struct{}
	Logger   *zap.Logger
}

// handler implements the operators' API.
type handler struct {
	Options
	state *config.State
	// watchSlots holds one element for each running watch.
	watchSlots chan struct{}
}

// NewHandler returns the handler of the operators' listener. All paths but those of
// health and readiness require the token.
func NewHandler(options Options) http.Handler {
	if options.ApplyTimeout == 0 {
		options.ApplyTimeout = DefaultApplyTimeout
	}
	h := &handler{Options: options, state: options.Follower.State(), watchSlots: make(chan struct{}, maxWatches)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathHealthz, h.healthz)
	mux.HandleFunc("GET "+api.PathReadyz, h.readyz)
	h.handleWithToken(mux, "GET "+api.PathResources, h.list)
	h.handleWithToken(mux, "GET "+api.PathResources+"/{kind}", h.list)
	h.handleWithToken(mux, "GET "+api.PathResources+"/{kind}/{name}", h.get)
	h.handleWithToken(mux, "DELETE "+api.PathResources+"/{kind}/{name}", h.delete)
	h.handleWithToken(mux, "POST "+api.PathApply, h.apply)
	h.handleWithToken(mux, "GET "+api.PathWatch, h.watch)
	h.handleWithToken(mux, "GET "+api.PathStatus, h.status)
	if options.Metrics != nil {
		h.handleWithToken(mux, "GET "+api.PathMetrics, options.Metrics.ServeHTTP)
	}
	h.handleWithToken(mux, "/", notFound)
	return mux
}

// handleWithToken registers a handler that requires the token.
func (h *handler) handleWithToken(mux *http.ServeMux, pattern string, next http.HandlerFunc) {
	mux.Handle(pattern, requireToken(h.Token, next))
}

// healthz answers 200 as long as the process serves requests.
func (h *handler) healthz(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}

// readyz answers 200 if the configuration was read to its end and the VM can serve
// callers, else 503 with the reason.
func (h *handler) readyz(w http.ResponseWriter, r *http.Request) {
	if h.Follower.Status().ConfirmedAt.IsZero() {
		writeUnavailable(w, "the configuration has not been read to its end yet")
		return
	}
	if err := h.Status.Ready(); err != nil {
		writeUnavailable(w, err.Error())
		return
	}
	h.healthz(w, r)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, api.Problem{Type: api.ProblemNotFound, Title: "Not found", Status: http.StatusNotFound, Detail: "there is no " + r.Method + " " + r.URL.Path})
}
