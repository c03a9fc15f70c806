package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/freeport"
)

type testResponder struct{}

func (testResponder) ResponseID(h http.Header) string { return h.Get("X-Id") }

// startPeer starts a backend server that calls serve for each request, and returns its
// address. number counts the requests of a connection from 1.
func startPeer(t *testing.T, serve func(c net.Conn, number int, id string) (more bool)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for number := 1; ; number++ {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.ReadAll(request.Body); err != nil || !serve(c, number, request.Header.Get("X-Id")) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// encodeResponse returns a response to the request with the given ID in wire format.
func encodeResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// send sends a request with the given ID through the pool.
func send(t *testing.T, p *Pool, id string) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return p.Do(ctx, &Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}})
}

// A connection must be reused and not be opened for each request.
func TestConnectionReuse(t *testing.T) {
	is := is.New(t)
	p := NewPool(startPeer(t, func(c net.Conn, _ int, id string) bool {
		_, err := io.WriteString(c, encodeResponse(id, "body-"+id))
		return err == nil
	}), clock.System{}, testResponder{})
	for i := range 3 {
		id := fmt.Sprint(i)
		result := send(t, p, id)
		is.Equal(result.Outcome, OutcomeAnswered)
		is.Equal(string(result.Response.Body), "body-"+id)
		is.Equal(result.Reused, i > 0)
	}
	is.Equal(p.Dials(), 1)
}

// A late second response to an earlier request must not be taken for the response to
// the next one.
func TestLateDuplicateResponse(t *testing.T) {
	is := is.New(t)
	p := NewPool(startPeer(t, func(c net.Conn, number int, id string) bool {
		stale := ""
		if number == 2 {
			stale = encodeResponse("1", "late")
		}
		_, err := io.WriteString(c, stale+encodeResponse(id, "body-"+id))
		return err == nil
	}), clock.System{}, testResponder{})
	send(t, p, "1")
	result := send(t, p, "2")
	is.Equal(result.Outcome, OutcomeAnswered)
	is.Equal(string(result.Response.Body), "body-2")
}

// A connection on which bytes arrived that belong to no request must not be reused.
func TestExtraBytes(t *testing.T) {
	is := is.New(t)
	p := NewPool(startPeer(t, func(c net.Conn, _ int, id string) bool {
		_, err := io.WriteString(c, encodeResponse(id, "body-"+id)+encodeResponse(id, "extra"))
		return err == nil
	}), clock.System{}, testResponder{})
	for _, id := range []string{"1", "2"} {
		result := send(t, p, id)
		is.Equal(result.Outcome, OutcomeAnswered)
		is.Equal(string(result.Response.Body), "body-"+id)
		is.True(!result.Reused)
	}
}

// An incomplete response or one to another request must not be accepted, and the
// outcome must not be "not sent" when the request arrived.
func TestInvalidResponse(t *testing.T) {
	for name, reply := range map[string]string{
		"truncated body":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"truncated chunk": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"other request":   encodeResponse("9", "body"),
		"not HTTP":        "garbage\r\n\r\n",
		"no response":     "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(startPeer(t, func(c net.Conn, _ int, _ string) bool {
				io.WriteString(c, reply) //nolint:errcheck // the test sees the result
				return false
			}), clock.System{}, testResponder{})
			result := send(t, p, "1")
			is.Equal(result.Outcome, OutcomeUnknown)
			is.True(result.Err != nil)
		})
	}
}

// A response without a length that ends with a reset must not be taken for complete.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset=", reset), func(t *testing.T) {
			is := is.New(t)
			p := NewPool(startPeer(t, func(c net.Conn, _ int, id string) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nbody") //nolint:errcheck // the test sees the result
				if reset {
					time.Sleep(50 * time.Millisecond)
					c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the test sees the result
				}
				return false
			}), clock.System{}, testResponder{})
			result := send(t, p, "1")
			is.Equal(result.Outcome == OutcomeAnswered, !reset)
		})
	}
}

// A request to a backend server that refuses connections must not count as sent.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	port, err := freeport.Adjacent(1) // no test listens on it
	is.NoErr(err)
	result := send(t, NewPool(fmt.Sprintf("127.0.0.1:%d", port), clock.System{}, testResponder{}), "1")
	is.Equal(result.Outcome, OutcomeNotSent)
	is.True(result.NotConnected)
}

// The connection must be closed when its request is cancelled. Otherwise the backend
// server would continue to work on it.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	p := NewPool(startPeer(t, func(c net.Conn, _ int, _ string) bool {
		var b [1]byte
		_, err := c.Read(b[:])
		if err != nil {
			close(closed)
		}
		return false
	}), clock.System{}, testResponder{})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	result := p.Do(ctx, &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h"})
	is.Equal(result.Outcome, OutcomeUnknown)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open 5 s after the request was cancelled")
	}
}

// Connections must not be reused after the idle time at which the peer closed one
// before, even if the peer states a longer timeout.
func TestIdleLimitAfterPeerClose(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	p := NewPool("127.0.0.1:1", fake, testResponder{})
	p.lowerIdleLimit(800 * time.Millisecond)
	client, server := net.Pipe()
	defer server.Close()
	p.open = 1
	p.idle = []*conn{{net: client, reader: bufio.NewReader(client), idleTimeout: time.Minute}}
	fake.Time = 500 * time.Millisecond
	is.Equal(p.pop(), nil) // 400 ms is the limit
	fake.Time = 10 * time.Minute
	is.Equal(p.currentIdleLimit(fake.Time), time.Duration(0))
}
