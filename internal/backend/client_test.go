package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against GET requests with a body, which some servers reject, and against
// control calls that each open a connection, which costs a backend server about 1 ms.
func TestControlCallsReuseConnection(t *testing.T) {
	is := is.New(t)
	var opened, bodies atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); r.Method == http.MethodGet && len(body) > 0 {
			bodies.Add(1)
		}
		// Exceeds the buffer of net/http, so that the response is chunked.
		_, _ = fmt.Fprintf(w, `{"instance":"%s"}`+"\n", strings.Repeat("x", 10_000))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := NewClient(server.Listener.Addr().String(), 1)
	defer client.Close()
	for range 10 {
		_, err := client.Grants(t.Context(), GrantRequest{})
		is.NoErr(err)
		_, err = client.Load(t.Context())
		is.NoErr(err)
	}
	is.Equal(opened.Load(), int64(1))
	is.Equal(bodies.Load(), int64(0))
}
