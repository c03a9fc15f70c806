// Package caller answers the callers' listener: it authenticates, limits and
// checks requests, has them dispatched and streams the answers.
package caller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/callerkey"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/httpheader"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/resource"
)

// Identity is what a caller key stands for.
type Identity struct {
	Workspace string
	// Withdrawn is closed when the caller key stops being valid.
	Withdrawn <-chan struct{}
}

// Authenticator checks caller keys.
type Authenticator interface {
	// Authenticate looks the bearer token up and checks that its workspace may call
	// the service.
	Authenticate(token, service string) (Identity, *outcome.Refusal)
}

// Limiter enforces workspaces' rates.
type Limiter interface {
	// Take takes one request from the workspace's rate.
	Take(ctx context.Context, workspace string) *outcome.Refusal
}

// Services finds Service resources.
type Services interface {
	Service(name string) (*resource.ServiceSpec, bool)
}

// Dispatcher brings a request to a backend server.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *dispatch.Request) (*backend.Response, *outcome.Refusal)
}

// Answer is what a caller got, for counters and traces.
type Answer struct {
	Status  int
	Refusal *outcome.Refusal
	// Cut is set when the answer broke off.
	Cut  bool
	Took time.Duration
}

// Observer is told of every request after its answer.
type Observer interface {
	Answered(r *dispatch.Request, answer Answer)
}

// Handler implements http.Handler.
type Handler struct {
	Auth       Authenticator
	Limiter    Limiter
	Services   Services
	Dispatcher Dispatcher
	Observer   Observer
	// Recorder writes a trace; nil for none. It must be set before the first request.
	Recorder Recorder
	// Leaving reports whether the VM is about to stop.
	Leaving func() bool

	bodies *bodyMemory
	mux    *http.ServeMux
}

// New returns a handler with the given parts.
func New(auth Authenticator, limiter Limiter, services Services, dispatcher Dispatcher, observer Observer, leaving func() bool) *Handler {
	h := &Handler{
		Auth:       auth,
		Limiter:    limiter,
		Services:   services,
		Dispatcher: dispatcher,
		Observer:   observer,
		Leaving:    leaving,
		bodies:     newBodyMemory(),
		mux:        http.NewServeMux(),
	}
	h.mux.HandleFunc("/{service}/{rest...}", h.handle)
	h.mux.HandleFunc("/", handleNoService)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func handleNoService(w http.ResponseWriter, _ *http.Request) {
	outcome.NotRunRefusal(http.StatusNotFound, "no-service", "the path must begin with /SERVICE/").Write(w)
}

func (h *Handler) handle(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	request := &dispatch.Request{ID: uuid.NewString(), Service: r.PathValue("service"), Method: r.Method}
	w.Header().Set(backend.HeaderRequestID, request.ID)
	if h.Leaving() && r.ProtoMajor == 1 {
		// The caller opens its next connection at another VM; closing an idle
		// connection later could cut a request that is on its way.
		w.Header().Set("Connection", "close")
	}
	answer := Answer{}
	recording := h.record(r, request)
	defer func() {
		answer.Took = time.Since(start)
		recording.finish(answer)
		h.Observer.Answered(request, answer)
		if answer.Cut {
			panic(http.ErrAbortHandler) // the caller must not take a cut answer for a whole one
		}
	}()
	resp, release, refusal := h.serve(r, w, request, recording)
	defer release()
	if refusal != nil {
		answer.Status, answer.Refusal = refusal.Status, refusal
		refusal.Write(w)
		return
	}
	recording.watch(resp)
	answer.Status = resp.Status
	answer.Cut = writeResponse(w, resp) != nil
}

// serve takes the request to its answer. The release function ends the request's
// context and must be called after the answer was written.
func (h *Handler) serve(r *http.Request, w http.ResponseWriter, request *dispatch.Request, recording *recording) (*backend.Response, func(), *outcome.Refusal) {
	token, identity, refusal := h.authenticate(r, w, request)
	if refusal == nil {
		refusal = h.fill(r, token, request)
	}
	recording.receive(token, identity)
	if refusal != nil {
		return nil, func() {}, refusal
	}
	ctx, release := requestContext(r.Context(), request.Deadline, identity.Withdrawn)
	if refusal := h.Limiter.Take(ctx, request.Workspace); refusal != nil {
		return nil, release, refusal
	}
	recording.admit()
	body, free, refusal := h.readBody(w, r, request)
	if refusal != nil {
		return nil, release, refusal
	}
	request.Body = body
	resp, refusal := h.Dispatcher.Dispatch(ctx, request)
	return resp, func() { free(); release() }, blameWithdrawal(refusal, identity.Withdrawn)
}

// blameWithdrawal names the withdrawal of the caller key as the reason of a request
// that it ended. The outcome stays what the attempts have shown.
func blameWithdrawal(refusal *outcome.Refusal, withdrawn <-chan struct{}) *outcome.Refusal {
	if refusal == nil || withdrawn == nil {
		return refusal
	}
	select {
	case <-withdrawn:
		return &outcome.Refusal{Kind: refusal.Kind, Status: http.StatusUnauthorized, Reason: "caller-key-withdrawn", Detail: "the caller key was withdrawn while the request was in progress"}
	default:
		return refusal
	}
}

func (h *Handler) authenticate(r *http.Request, w http.ResponseWriter, request *dispatch.Request) (string, Identity, *outcome.Refusal) {
	token, err := callerkey.BearerToken(r.Header)
	if err != nil {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return "", Identity{}, outcome.NotRunRefusal(http.StatusUnauthorized, "no-caller-key", "the header Authorization: Bearer KEY is missing")
	}
	identity, refusal := h.Auth.Authenticate(token, request.Service)
	if refusal != nil {
		return token, Identity{}, refusal
	}
	request.Workspace = identity.Workspace
	return token, identity, nil
}

// fill sets the fields that come from the Service resource and the head.
func (h *Handler) fill(r *http.Request, token string, request *dispatch.Request) *outcome.Refusal {
	spec, ok := h.Services.Service(request.Service)
	if !ok {
		return outcome.NotRunRefusal(http.StatusNotFound, "unknown-service", "service "+request.Service+" does not exist")
	}
	if r.ContentLength > spec.MaxBodyBytes {
		return tooLarge(spec)
	}
	request.Spec = spec
	request.Deadline = time.Now().Add(spec.Timeout.Std())
	request.IdempotencyKey = r.Header.Get("Idempotency-Key")
	if err := callerkey.Strip(r, token); err != nil {
		return outcome.NotRunRefusal(http.StatusBadRequest, "caller-key-in-path", "the caller key must not be part of the path")
	}
	request.Target = target(r, request.Service)
	httpheader.RemoveHopByHop(r.Header)
	httpheader.RemoveInternal(r.Header)
	addForwardedFor(r)
	request.Header = r.Header
	if !spec.Keyed() {
		return nil
	}
	request.Key = keyOf(r, spec.Key)
	if request.Key == "" {
		return outcome.NotRunRefusal(http.StatusBadRequest, "no-key", "the request lacks the key that service "+request.Service+" is divided by")
	}
	return nil
}

// target returns the path and query after the service name.
func target(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+service)
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

func keyOf(r *http.Request, source *resource.KeySource) string {
	if source.Header != "" {
		return r.Header.Get(source.Header)
	}
	segments := strings.Split(r.PathValue("rest"), "/")
	if source.PathSegment > len(segments) {
		return ""
	}
	return segments[source.PathSegment-1]
}

func addForwardedFor(r *http.Request) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	if prior := r.Header.Get("X-Forwarded-For"); prior != "" {
		host = prior + ", " + host
	}
	r.Header.Set("X-Forwarded-For", host)
}

// requestContext ends at the deadline, when the caller hangs up and when its key
// is withdrawn.
func requestContext(parent context.Context, deadline time.Time, withdrawn <-chan struct{}) (context.Context, func()) {
	ctx, cancel := context.WithDeadline(parent, deadline)
	if withdrawn == nil {
		return ctx, cancel
	}
	go func() {
		select {
		case <-withdrawn:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func writeResponse(w http.ResponseWriter, resp *backend.Response) error {
	defer func() { _ = resp.Body.Close() }()
	httpheader.RemoveHopByHop(resp.Header)
	httpheader.RemoveInternal(resp.Header)
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	w.WriteHeader(resp.Status)
	return peer.Stream(w, resp.Body)
}
