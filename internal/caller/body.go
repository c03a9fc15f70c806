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

// readBody reads the whole body before a backend server is asked, so that a slow
// caller holds no slot there. The free function releases the memory.
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
	free := func() { h.bodies.release(request.Workspace, reserved) }
	body, refusal := readAll(w, r, request)
	if refusal != nil {
		free()
		return nil, nil, refusal
	}
	return body, free, nil
}

func readAll(w http.ResponseWriter, r *http.Request, request *dispatch.Request) ([]byte, *outcome.Refusal) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(request.Deadline) // tests without a connection have no deadline
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, request.Spec.MaxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var overflow *http.MaxBytesError
	if errors.As(err, &overflow) {
		return nil, tooLarge(request.Spec)
	}
	if err != nil {
		return nil, outcome.NotRunRefusal(http.StatusBadRequest, "incomplete-body", "the request body did not arrive whole within the timeout")
	}
	return body, nil
}

func tooLarge(spec *resource.ServiceSpec) *outcome.Refusal {
	return outcome.NotRunRefusal(http.StatusRequestEntityTooLarge, "body-too-large", "the body exceeds the limit of the service: "+formatBytes(spec.MaxBodyBytes))
}
