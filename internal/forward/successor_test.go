package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrashBeforeSuccessorAnswers guards against a request that crashes backend server after backend
// server, since a crash no longer counts once another process answers at the address that it is not
// the one that ended.
func TestCrashBeforeSuccessorAnswers(t *testing.T) {
	is := is.New(t)
	s := newTestForwarder(t, false, func(w http.ResponseWriter, r *http.Request) {
		server := r.Context().Value(http.ServerContextKey).(*http.Server)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		server.Close() //nolint:errcheck // its listener is closed
		c.Close()      //nolint:errcheck // the request gets no answer
	})
	address := s.Directory.View().Backends["b0"].Address
	is.Equal(s.request(context.Background(), "1").Status, http.StatusBadGateway)
	deadline := time.Now().Add(2 * time.Second)
	for !s.Quarantine.Active() && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(s.Quarantine.Active()) // the crash is known
	listener, err := net.Listen("tcp4", address)
	is.NoErr(err)
	var answers atomic.Int64
	successor := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answers.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Not-Owner", "1")
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})}
	go successor.Serve(listener) //nolint:errcheck // it ends with Close
	defer successor.Close()
	for i := 0; i < 40 && answers.Load() == 0; i++ {
		s.request(context.Background(), fmt.Sprint("after-", i))
		time.Sleep(50 * time.Millisecond)
	}
	is.True(answers.Load() > 0)
	is.True(s.Quarantine.Active()) // the crash still counts
}
