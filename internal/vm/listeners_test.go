package vm

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// startCallers serves the handler with the settings of the listener for callers and
// returns its address.
func startCallers(t testing.TB, handler http.Handler) string {
	t.Helper()
	opened, err := listen("127.0.0.1:0", maxCallerConnections, newCallerHTTPServer(handler))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = opened.server.Serve(opened.socket) }()
	t.Cleanup(func() { _ = opened.server.Close() })
	return opened.address()
}

// exchangeRaw sends the request byte for byte. It returns everything that the server
// sends until it closes the connection or the max wait is over.
func exchangeRaw(t testing.TB, address, request string, maxWait time.Duration) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(maxWait))
	_, _ = io.WriteString(conn, request) // the server may close early
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// Guards against request smuggling: if two HTTP implementations disagree on where a
// request ends, the server must not read a second request from what may be the body of
// the first.
func TestAmbiguousRequestsCannotSmuggle(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
	cases := map[string]string{
		"content length and chunked":   "POST /s/a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"two content lengths":          "POST /s/a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 40\r\n\r\n" + smuggled,
		"list of content lengths":      "POST /s/a HTTP/1.1\r\nHost: a\r\nContent-Length: 0, 40\r\n\r\n" + smuggled,
		"signed content length":        "POST /s/a HTTP/1.1\r\nHost: a\r\nContent-Length: +0\r\n\r\n" + smuggled,
		"unknown transfer encoding":    "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
		"chunked is not last":          "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + smuggled,
		"two transfer encodings":       "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + smuggled,
		"bad chunk size":               "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n" + smuggled,
		"overflowing chunk size":       "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n\r\n" + smuggled,
		"negative chunk size":          "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" + smuggled,
		"chunk longer than its size":   "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n" + smuggled,
		"folded transfer encoding":     "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggled,
		"space before the colon":       "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggled,
		"space in a header name":       "POST /s/a HTTP/1.1\r\nHost: a\r\nX A: b\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"two hosts":                    "POST /s/a HTTP/1.1\r\nHost: a\r\nHost: b\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"no host":                      "POST /s/a HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"zero byte in a header":        "POST /s/a HTTP/1.1\r\nHost: a\r\nX-A: b\x00c\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"carriage return in a header":  "POST /s/a HTTP/1.1\r\nHost: a\r\nX-A: b\rContent-Length: 9\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"chunked in HTTP/1.0":          "POST /s/a HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\n0\r\n\r\n" + smuggled,
		"trailer with content length":  "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n0\r\nContent-Length: 40\r\n\r\n" + smuggled,
		"space in the request target":  "GET /s/a b HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled,
		"authority target":             "CONNECT other:80 HTTP/1.1\r\nHost: other:80\r\n\r\n" + smuggled,
		"bare line feed after a chunk": "POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\na\n0\r\n\r\n" + smuggled,
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var seen []string
			reached := make(chan string, 8)
			address := startCallers(t, preventSmuggling(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(r.Body)
				reached <- fmt.Sprintf("%s %s host=%s err=%v", r.Method, r.RequestURI, r.Host, err)
			})))
			answer := exchangeRaw(t, address, request, 300*time.Millisecond)
			for len(reached) > 0 {
				seen = append(seen, <-reached)
			}
			status, _, _ := strings.Cut(answer, "\r\n")
			t.Logf("%q, handler saw %q", status, seen)
			for _, s := range seen {
				is.New(t).True(!strings.Contains(s, "smuggled"))
			}
			is.New(t).True(len(seen) <= 1)
		})
	}
}

// Guards against a folded header line or a request target in absolute form changing how
// the rest of the request is parsed.
func TestFoldedHeaderAndAbsoluteTargetAreParsed(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 2)
	address := startCallers(t, preventSmuggling(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen <- fmt.Sprintf("%s %q %d", r.URL.Path, r.Header.Get("X-A"), r.ContentLength)
	})))
	exchangeRaw(t, address, "POST /s/a HTTP/1.1\r\nHost: a\r\nX-A: b\r\n Content-Length: 40\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", time.Second)
	is.Equal(<-seen, `/s/a "b Content-Length: 40" 0`)
	exchangeRaw(t, address, "GET http://other/s/b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", time.Second)
	is.Equal(<-seen, `/s/b "" 0`)
}

// Guards against connection-specific and malformed header fields in HTTP/2 requests,
// which would take effect when the request is translated to HTTP/1.
func TestInvalidHTTP2HeadersAreRejected(t *testing.T) {
	for _, field := range []hpack.HeaderField{
		{Name: "connection", Value: "close"},
		{Name: "transfer-encoding", Value: "chunked"},
		{Name: "upgrade", Value: "websocket"},
		{Name: "keep-alive", Value: "1"},
		{Name: "x-a", Value: "b\r\ncontent-length: 40"},
		{Name: "x a", Value: "b"},
		{Name: "X-Upper", Value: "b"},
	} {
		t.Run(field.Name, func(t *testing.T) {
			is := is.New(t)
			reached := make(chan struct{}, 1)
			address := startCallers(t, preventSmuggling(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached <- struct{}{} })))
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			var block bytes.Buffer
			encoder := hpack.NewEncoder(&block)
			for _, f := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/s/a"}, {Name: ":authority", Value: "a"}, field} {
				is.NoErr(encoder.WriteField(f))
			}
			_, err = io.WriteString(conn, http2.ClientPreface)
			is.NoErr(err)
			framer := http2.NewFramer(conn, conn)
			is.NoErr(framer.WriteSettings())
			is.NoErr(framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndStream: true, EndHeaders: true}))
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			for answered := false; !answered; {
				frame, err := framer.ReadFrame()
				is.NoErr(err)
				answered = frame.Header().StreamID == 1 || frame.Header().Type == http2.FrameGoAway
			}
			is.Equal(len(reached), 0)
		})
	}
}

// Guards against callers that occupy connections by sending a header slowly.
func TestSlowHeaderClosesConnection(t *testing.T) {
	is := is.New(t)
	server := newCallerHTTPServer(http.NotFoundHandler())
	is.True(server.ReadHeaderTimeout > 0 && server.ReadHeaderTimeout <= 5*time.Second)
	server.ReadHeaderTimeout = 100 * time.Millisecond // shorter than in production to keep the test fast
	opened, err := listen("127.0.0.1:0", 0, server)
	is.NoErr(err)
	go func() { _ = server.Serve(opened.socket) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", opened.address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	go func() {
		for _, c := range "GET / HTTP/1.1\r\nHost: a\r\nX-Slow: " + strings.Repeat("a", 1000) {
			if _, err := conn.Write([]byte(string(c))); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	begin := time.Now()
	_ = conn.SetReadDeadline(begin.Add(5 * time.Second))
	_, _ = io.ReadAll(conn)
	is.True(time.Since(begin) < 2*time.Second)
}

// Guards against large headers exhausting the memory of a VM.
func TestOversizedHeaderIsRejected(t *testing.T) {
	is := is.New(t)
	address := startCallers(t, preventSmuggling(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })))
	oversized := "GET /s/a HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("a", 2*maxHeaderBytes) + "\r\n\r\n"
	answer := exchangeRaw(t, address, oversized, 2*time.Second)
	is.True(strings.HasPrefix(answer, "HTTP/1.1 431"))
	many := "GET /s/a HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", maxHeaderBytes) + "\r\n"
	answer = exchangeRaw(t, address, many, 2*time.Second)
	is.True(strings.HasPrefix(answer, "HTTP/1.1 431"))
}

// Guards against the protection from smuggling rejecting valid pipelined requests on
// one connection.
func TestPipelinedRequestsAreServed(t *testing.T) {
	is := is.New(t)
	address := startCallers(t, preventSmuggling(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})))
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /s/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"+
		"POST /s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"x", "y"} {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), want)
	}
}
