// Package caller handles HTTP requests of callers: it authenticates the caller,
// validates the request, enforces the workspace's rate, reads the body, and streams the
// answer back. It leaves the choice of a backend server, retries and the rates
// themselves to the Dispatcher and the Limiter.
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

// Identity is the result of authenticating a caller key.
type Identity struct {
	Workspace string
	// Withdrawn is closed when the caller key stops being valid. A nil channel means
	// that the key is never withdrawn.
	Withdrawn <-chan struct{}
}

// Authenticator authenticates callers.
type Authenticator interface {
	// Authenticate finds the workspace of the bearer token and checks that the token
	// may be used for the service. It returns a refusal otherwise.
	Authenticate(token, service string) (Identity, *outcome.Refusal)
}

// Limiter enforces the request rates of workspaces.
type Limiter interface {
	// Take counts one request against the workspace's rate. It returns a refusal if
	// the rate is exceeded.
	Take(ctx context.Context, workspace string) *outcome.Refusal
}

// Services looks up Service resources.
type Services interface {
	// Service returns false if there is no service of the name.
	Service(name string) (*resource.ServiceSpec, bool)
}

// Dispatcher sends requests to backend servers.
type Dispatcher interface {
	// Dispatch returns a response, or a refusal if the request got none.
	Dispatch(ctx context.Context, r *dispatch.Request) (*backend.Response, *outcome.Refusal)
}

// Answer describes the answer that a caller got, for metrics and traces.
type Answer struct {
	Status int
	// Refusal is nil for a response of a backend server.
	Refusal *outcome.Refusal
	// Cut is set if the answer was not sent to its end.
	Cut bool
	// Took is the time from the arrival of the request to the end of the answer.
	Took time.Duration
}

// Observer is notified of requests.
type Observer interface {
	// Answered is called once for each request under a service path, after its
	// answer was sent or cut.
	Answered(r *dispatch.Request, answer Answer)
}

// Handler is the http.Handler for requests of callers.
type Handler struct {
	Auth       Authenticator
	Limiter    Limiter
	Services   Services
	Dispatcher Dispatcher
	Observer   Observer
	// Recorder records a trace; nil disables recording. It must be set before the
	// first request.
	Recorder Recorder
	// Leaving reports whether the VM is about to stop. HTTP/1 connections are closed
	// after their current answer then.
	Leaving func() bool

	bodies *bodyMemory
	mux    *http.ServeMux
}

// New returns a handler with the given dependencies and no Recorder.
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
		// The caller opens its next connection to another VM. Closing the connection
		// later, while it is idle, could cut off a request that is already on its way.
		w.Header().Set("Connection", "close")
	}
	answer := Answer{}
	recording := h.startRecording(r, request)
	defer func() {
		answer.Took = time.Since(start)
		recording.recordFinished(answer)
		h.Observer.Answered(request, answer)
		if answer.Cut {
			panic(http.ErrAbortHandler) // the caller must not mistake a cut answer for a complete one
		}
	}()
	resp, release, refusal := h.serve(r, w, request, recording)
	defer release()
	if refusal != nil {
		answer.Status, answer.Refusal = refusal.Status, refusal
		refusal.Write(w)
		return
	}
	recording.hashBody(resp)
	answer.Status = resp.Status
	answer.Cut = writeResponse(w, resp) != nil
}

// serve authenticates, validates and dispatches the request. The returned function
// ends the request's context and releases its body; it must be called after the
// answer was written.
func (h *Handler) serve(r *http.Request, w http.ResponseWriter, request *dispatch.Request, recording *requestRecording) (*backend.Response, func(), *outcome.Refusal) {
	token, identity, refusal := h.authenticate(r, w, request)
	if refusal == nil {
		refusal = h.fillRequest(r, token, request)
	}
	recording.recordReceived(token, identity)
	if refusal != nil {
		return nil, func() {}, refusal
	}
	ctx, cancel := requestContext(r.Context(), request.Deadline, identity.Withdrawn)
	if refusal := h.Limiter.Take(ctx, request.Workspace); refusal != nil {
		return nil, cancel, refusal
	}
	recording.recordAdmitted()
	body, releaseBody, refusal := h.readBody(w, r, request)
	if refusal != nil {
		return nil, cancel, refusal
	}
	request.Body = body
	resp, refusal := h.Dispatcher.Dispatch(ctx, request)
	return resp, func() { releaseBody(); cancel() }, reportWithdrawal(refusal, identity.Withdrawn)
}

// reportWithdrawal replaces the refusal of a request by one that names the withdrawal
// of the caller key as the reason, if the key was withdrawn. The outcome stays the
// one that the attempts have shown.
func reportWithdrawal(refusal *outcome.Refusal, withdrawn <-chan struct{}) *outcome.Refusal {
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

// fillRequest validates the request and sets the fields that come from the Service
// resource and from the request line and header. It removes the caller key, the
// hop-by-hop fields and the internal fields from the header.
func (h *Handler) fillRequest(r *http.Request, token string, request *dispatch.Request) *outcome.Refusal {
	spec, ok := h.Services.Service(request.Service)
	if !ok {
		return outcome.NotRunRefusal(http.StatusNotFound, "unknown-service", "service "+request.Service+" does not exist")
	}
	if r.ContentLength > spec.MaxBodyBytes {
		return bodyTooLarge(spec)
	}
	request.Spec = spec
	request.Deadline = time.Now().Add(spec.Timeout.Std())
	request.IdempotencyKey = r.Header.Get("Idempotency-Key")
	if err := callerkey.Strip(r, token); err != nil {
		return outcome.NotRunRefusal(http.StatusBadRequest, "caller-key-in-path", "the caller key must not be part of the path")
	}
	request.Target = requestTarget(r, request.Service)
	httpheader.RemoveHopByHop(r.Header)
	httpheader.RemoveInternal(r.Header)
	addForwardedFor(r)
	request.Header = r.Header
	if !spec.Keyed() {
		return nil
	}
	request.Key = requestKey(r, spec.Key)
	if request.Key == "" {
		return outcome.NotRunRefusal(http.StatusBadRequest, "no-key", "the request lacks the key that service "+request.Service+" is divided by")
	}
	return nil
}

// requestTarget returns the escaped path after the service name, and the query.
func requestTarget(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+service)
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// requestKey returns the key by which a keyed service is divided, taken from a header
// field or from a segment of the path. It is empty if the request has none.
func requestKey(r *http.Request, source *resource.KeySource) string {
	if source.Header != "" {
		return r.Header.Get(source.Header)
	}
	segments := strings.Split(r.PathValue("rest"), "/")
	if source.PathSegment > len(segments) {
		return ""
	}
	return segments[source.PathSegment-1]
}

// addForwardedFor appends the caller's IP address to X-Forwarded-For.
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

// requestContext returns a context that ends at the deadline, when the parent ends
// because the caller closed its connection, or when the caller key is withdrawn.
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

// writeResponse sends the response to the caller and closes its body. An error means
// that the answer is cut.
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
