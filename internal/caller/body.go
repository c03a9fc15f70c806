package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/resource"
)

// readBody reads the whole body before the request is dispatched, so that a slow
// caller doesn't occupy a slot of a backend server. The returned function releases
// the memory reserved for the body.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, request *dispatch.Request) ([]byte, func(), *outcome.Refusal) {
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	reserved := request.Spec.MaxBodyBytes
	if r.ContentLength > 0 {
		reserved = r.ContentLength
	}
	if !h.bodies.tryAcquire(request.Workspace, reserved) {
		refusal := outcome.NotRunRefusal(http.StatusServiceUnavailable, "body-memory", "this VM holds too many request bodies, of all workspaces or of this one")
		refusal.RetryAfter = time.Second
		return nil, nil, refusal
	}
	releaseBody := func() { h.bodies.release(request.Workspace, reserved) }
	body, refusal := readWithLimits(w, r, request)
	if refusal != nil {
		releaseBody()
		return nil, nil, refusal
	}
	return body, releaseBody, nil
}

// readWithLimits reads the body up to the size limit of the service and the deadline
// of the request.
func readWithLimits(w http.ResponseWriter, r *http.Request, request *dispatch.Request) ([]byte, *outcome.Refusal) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(request.Deadline) // fails only in tests, whose writers have no connection
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, request.Spec.MaxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var overflow *http.MaxBytesError
	if errors.As(err, &overflow) {
		return nil, bodyTooLarge(request.Spec)
	}
	if err != nil {
		return nil, outcome.NotRunRefusal(http.StatusBadRequest, "incomplete-body", "the request body did not arrive whole within the timeout")
	}
	return body, nil
}

func bodyTooLarge(spec *resource.ServiceSpec) *outcome.Refusal {
	return outcome.NotRunRefusal(http.StatusRequestEntityTooLarge, "body-too-large", "the body exceeds the limit of the service: "+formatBytes(spec.MaxBodyBytes))
}
