package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"

	"fireflyfield/internal/clock"
)

// A head that mixes two responses, or whose framing is not that of HTTP, must not be taken for
// the response to the request. The first one may be the rest of a response that the peer had
// begun to write once more.
func TestInvalidHead(t *testing.T) {
	whole := encodeResponse("1", "body")
	for name, reply := range map[string]string{
		"status line in reason":       "HTTP/1.1 503 Service Unav" + whole,
		"status line in value":        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + whole,
		"status line in folded value": "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n " + whole,
		"status line in 103":          "HTTP/1.1 103 Early Hints\r\nLink: " + whole + whole,
		"name with space":             "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length : 10\r\n\r\nbody",
		"status over 599":             "HTTP/1.1 600 No\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody",
		"status under 100":            "HTTP/1.1 020 No\r\n\r\n" + whole,
		"other lengths":               "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
		"list of lengths":             "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4, 4\r\n\r\nbody",
		"empty length":                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length:\r\n\r\nbody",
		"signed length":               "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: +4\r\n\r\nbody",
		"unknown coding":              "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: gzip\r\n\r\nbody",
		"HTTP/1.0 with coding":        "HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.0 with coding, cut":   "HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo",
		"HTTP/1.0 informational":      "HTTP/1.0 103 Early Hints\r\n\r\n" + whole,
		"blank line first":            "\r\n" + whole,
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(startPeer(t, func(c net.Conn, number int, _ string) bool {
				if number == 1 {
					_, err := io.WriteString(c, encodeResponse("0", ""))
					return err == nil
				}
				io.WriteString(c, reply) //nolint:errcheck // the test sees the result
				return false
			}), clock.System{}, testResponder{}, nil)
			send(t, p, "0")
			if result := send(t, p, "1"); result.Outcome != OutcomeUnknown {
				t.Errorf("outcome %d: status %d, body %q", result.Outcome, result.Response.Status, result.Response.Body)
			}
		})
	}
}

// A part of any length of an earlier response that the peer writes once more must not be mixed
// with the response to the request behind it, nor be taken for it.
func TestPartOfEarlierResponse(t *testing.T) {
	whole := encodeResponse("1", "body")
	for name, earlier := range map[string]string{
		"length":  "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: 0\r\nRetry-After: 0.25\r\nContent-Length: 5\r\n\r\nfull\n",
		"chunks":  "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfull\n\r\n0\r\n\r\n",
		"ID last": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nX-Id: 0\r\n\r\n",
	} {
		for size := range len(earlier) + 1 {
			p := NewPool(startPeer(t, func(c net.Conn, number int, _ string) bool {
				if number == 1 {
					_, err := io.WriteString(c, encodeResponse("0", ""))
					return err == nil
				}
				io.WriteString(c, earlier[:size]+whole) //nolint:errcheck // the test sees the result
				return false
			}), clock.System{}, testResponder{}, nil)
			send(t, p, "0")
			result := send(t, p, "1")
			answered := result.Outcome == OutcomeAnswered
			if answered && (result.Response.Status != http.StatusOK || string(result.Response.Body) != "body") {
				t.Errorf("%s, %d bytes: status %d, body %q", name, size, result.Response.Status, result.Response.Body)
			}
			if (size == 0 || size == len(earlier)) != answered {
				t.Errorf("%s, %d bytes: outcome %d: %v", name, size, result.Outcome, result.Err)
			}
		}
	}
}
