package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/outcome"
)

// withdrawing withdraws the caller key while the request is being dispatched.
type withdrawing struct {
	parts
	withdrawn chan struct{}
}

func (w *withdrawing) Authenticate(string, string) (Identity, *outcome.Refusal) {
	return Identity{Workspace: "w", Withdrawn: w.withdrawn}, nil
}

func (w *withdrawing) Dispatch(ctx context.Context, _ *dispatch.Request) (*backend.Response, *outcome.Refusal) {
	close(w.withdrawn)
	<-ctx.Done()
	return nil, &outcome.Refusal{Kind: outcome.Unknown, Status: http.StatusServiceUnavailable, Reason: "gate-unreachable"}
}

// Guards against a request that a withdrawal ended being answered as an outage,
// after which the caller would try again with the same key.
func TestWithdrawalIsNamed(t *testing.T) {
	is := is.New(t)
	w := &withdrawing{withdrawn: make(chan struct{})}
	request := httptest.NewRequest(http.MethodGet, "/rota/plan", nil)
	request.Header.Set("Authorization", "Bearer "+secret)
	recorder := httptest.NewRecorder()
	New(w, w, w, w, w, func() bool { return false }).ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusUnauthorized)
	is.Equal(recorder.Header().Get(outcome.Header), "unknown")
	is.Equal(recorder.Header().Get("Retry-After"), "")
}
