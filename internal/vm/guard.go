package vm

import (
	"net/http"
	"slices"

	"fireflyfield/internal/outcome"
)

// guarded ends connections after requests that another HTTP implementation may
// delimit differently from net/http, so that what follows on the connection is
// never taken for a request.
//
// net/http removes Content-Length from a chunked request and Transfer-Encoding
// from an HTTP/1.0 request before a handler sees them (RFC 9112, section 6.1, asks
// for the end of the connection when both are there). So every chunked or HTTP/1.0
// request ends its connection.
func guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && (!r.ProtoAtLeast(1, 1) || slices.Contains(r.TransferEncoding, "chunked")) {
			w.Header().Set("Connection", "close")
		}
		if r.Method == http.MethodConnect {
			refuseConnect(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refuseConnect answers a request for a tunnel, whose following bytes are not HTTP.
func refuseConnect(w http.ResponseWriter, r *http.Request) {
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
