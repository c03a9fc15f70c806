package vm

import (
	"net/http"
	"slices"

	"fireflyfield/internal/outcome"
)

// preventSmuggling protects against request smuggling: it closes the connection after
// each request whose end another HTTP implementation may find at a different place
// than net/http, so that the bytes that follow are never read as a request.
//
// RFC 9112, section 6.1, requires closing the connection if a request has both
// Content-Length and Transfer-Encoding. A handler can't detect this, because net/http
// removes Content-Length from a chunked request and Transfer-Encoding from an
// HTTP/1.0 request. Therefore every chunked or HTTP/1.0 request closes its connection.
func preventSmuggling(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && (!r.ProtoAtLeast(1, 1) || slices.Contains(r.TransferEncoding, "chunked")) {
			w.Header().Set("Connection", "close")
		}
		if r.Method == http.MethodConnect {
			rejectConnect(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// rejectConnect rejects a CONNECT request and closes an HTTP/1 connection, since the
// bytes that follow such a request are not HTTP.
func rejectConnect(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	refusal := &outcome.Refusal{
		Kind:   outcome.NotRun,
		Status: http.StatusMethodNotAllowed,
		Reason: "no-tunnel",
		Detail: "CONNECT is not supported",
	}
	refusal.Write(w)
}
