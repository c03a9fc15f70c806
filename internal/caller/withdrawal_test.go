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

// keyWithdrawer withdraws the caller key while the request is being dispatched.
type keyWithdrawer struct {
	fakes
	withdrawn chan struct{}
}

func (w *keyWithdrawer) Authenticate(string, string) (Identity, *outcome.Refusal) {
	return Identity{Workspace: "w", Withdrawn: w.withdrawn}, nil
}

func (w *keyWithdrawer) Dispatch(ctx context.Context, _ *dispatch.Request) (*backend.Response, *outcome.Refusal) {
	close(w.withdrawn)
	<-ctx.Done()
	return nil, &outcome.Refusal{Kind: outcome.Unknown, Status: http.StatusServiceUnavailable, Reason: "gate-unreachable"}
}

// Guards against an answer that reports an outage although the request ended because
// its caller key was withdrawn. The caller would then retry with the same key.
func TestWithdrawalIsReportedAsReason(t *testing.T) {
	is := is.New(t)
	w := &keyWithdrawer{withdrawn: make(chan struct{})}
	request := httptest.NewRequest(http.MethodGet, "/rota/plan", nil)
	request.Header.Set("Authorization", "Bearer "+testCallerKey)
	recorder := httptest.NewRecorder()
	New(w, w, w, w, w, func() bool { return false }).ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusUnauthorized)
	is.Equal(recorder.Header().Get(outcome.Header), "unknown")
	is.Equal(recorder.Header().Get("Retry-After"), "")
}
