package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
)

const notRunHead = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"

// respondBehind runs the request and sends a signed response behind the given bytes.
func respondBehind(t *testing.T, w http.ResponseWriter, r *http.Request, extra string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 3\r\n\r\nran", extra, r.Header.Get("X-Id")) //nolint:errcheck // the test sees the answer
}

// TestExtraRefusal guards against a caller who is told "not run" about a request that ran, and
// against a second run of it, because the backend server wrote an earlier refusal once more on
// a kept connection.
func TestExtraRefusal(t *testing.T) {
	for name, extra := range map[string]string{
		"previous ID":      notRunHead + "X-Id: 1\r\n\r\n",
		"previous ID, two": notRunHead + "X-Id: 1\r\n\r\n" + notRunHead + "X-Id: 1\r\n\r\n",
		"older ID":         notRunHead + "X-Id: 0\r\n\r\n",
		"without ID":       notRunHead + "\r\n",
		"cut in a value":   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nRetry-After: 0.",
		"cut in a reason":  "HTTP/1.1 503 Service Unav",
		"informational":    "HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n" + notRunHead + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Id") == "1" {
					respondSigned(w, r)
					return
				}
				runs.Add(1)
				respondBehind(t, w, r, extra)
			}
			// Directly, and by way of another VM.
			for i, s := range []*testForwarder{newTestForwarder(t, false, serve), newCutForwarder(t, false, serve)} {
				runs.Store(0)
				for _, id := range []string{"1", "2"} {
					answer := s.request(context.Background(), id)
					if answer.Status != http.StatusOK && answer.Status != http.StatusBadGateway {
						t.Errorf("way %d, request %s: status %d %q", i, id, answer.Status, answer.Body)
					}
					answer.Done()
				}
				if n := runs.Load(); n != 1 {
					t.Errorf("way %d: request 2 ran %d times", i, n)
				}
			}
		})
	}
}

// TestRefusalOfEarlierAttempt guards against a request that runs at the owner of its key and is
// answered with the refusal of its first attempt, which the backend server wrote once more: that
// has the same ID.
func TestRefusalOfEarlierAttempt(t *testing.T) {
	var runs atomic.Int64
	refused := ""
	s := newTestForwarder(t, false, func(w http.ResponseWriter, r *http.Request) {
		refusal := notRunHead + "X-Not-Owner: 1\r\nX-Id: 1\r\n\r\n"
		switch refused {
		case "":
			refused = r.RemoteAddr
			w.Header().Set("X-Id", "1")
			w.Header().Set("X-Not-Owner", "1")
			respondNotRun(w, r)
		case r.RemoteAddr:
			runs.Add(1)
			respondBehind(t, w, r, refusal)
		default:
			runs.Add(1)
			respondSigned(w, r)
		}
	})
	s.assignAllKeys(t)
	answer := s.keyedRequest("1")
	if answer.Status != http.StatusOK {
		t.Errorf("status %d %q", answer.Status, answer.Body)
	}
	answer.Done()
	if n := runs.Load(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestUnprovenRefusal guards against a promise that a request has not run that its backend server
// has not given: a status alone states nothing.
func TestUnprovenRefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, signature := range []string{"", "1"} {
			for _, idempotent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d signed=%s idempotent=%t", status, signature, idempotent), func(t *testing.T) {
					var runs atomic.Int64
					serve := func(w http.ResponseWriter, r *http.Request) {
						runs.Add(1)
						w.Header().Set("X-Id", "1")
						w.Header().Set("X-Signed", signature)
						w.WriteHeader(status)
					}
					answer := newTestForwarder(t, idempotent, serve, serve).request(context.Background(), "1")
					if answer.Status != http.StatusBadGateway || answer.Header.Get("X-Signed") != "" {
						t.Errorf("status %d, signature %q", answer.Status, answer.Header.Get("X-Signed"))
					}
					answer.Done()
					if n := runs.Load(); n != 1 && !idempotent {
						t.Errorf("ran %d times", n)
					}
				})
			}
		}
	}
}
