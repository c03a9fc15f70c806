package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/freeport"
	"fireflyfield/internal/membudget"
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
	}), clock.System{}, testResponder{}, nil)
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
	}), clock.System{}, testResponder{}, nil)
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
	}), clock.System{}, testResponder{}, nil)
	for _, id := range []string{"1", "2"} {
		result := send(t, p, id)
		is.Equal(result.Outcome, OutcomeAnswered)
		is.Equal(string(result.Response.Body), "body-"+id)
		is.True(!result.Reused)
	}
}

// A refusal that arrives on an idle connection must not be taken for the response to the next
// request, not even with its ID.
func TestResponseOnIdleConnection(t *testing.T) {
	is := is.New(t)
	extra := make(chan net.Conn, 2)
	p := NewPool(startPeer(t, func(c net.Conn, _ int, id string) bool {
		_, err := io.WriteString(c, encodeResponse(id, "body-"+id))
		extra <- c
		return err == nil
	}), clock.System{}, testResponder{}, nil)
	send(t, p, "1")
	io.WriteString(<-extra, "HTTP/1.1 503 Service Unavailable\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // the test sees the result
	for deadline := time.Now().Add(5 * time.Second); p.idle[0].usable() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	result := send(t, p, "2")
	is.Equal(result.Outcome, OutcomeAnswered)
	is.Equal(string(result.Response.Body), "body-2")
	is.True(!result.Reused)
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
			}), clock.System{}, testResponder{}, nil)
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
			}), clock.System{}, testResponder{}, nil)
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
	result := send(t, NewPool(fmt.Sprintf("127.0.0.1:%d", port), clock.System{}, testResponder{}, nil), "1")
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
	}), clock.System{}, testResponder{}, nil)
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
	p := NewPool("127.0.0.1:1", fake, testResponder{}, nil)
	p.lowerIdleLimit(800 * time.Millisecond)
	client, server := net.Pipe()
	defer server.Close()
	p.open = 1
	p.idle = []*conn{{net: client, reader: bufio.NewReader(client), idleTimeout: time.Minute}}
	fake.Time = 500 * time.Millisecond
	is.Equal(p.pop(nil), nil) // 400 ms is the limit
	fake.Time = 10 * time.Minute
	is.Equal(p.currentIdleLimit(fake.Time), time.Duration(0))
}

// startEndless starts a backend server that answers with the given start and then repeats a
// part without end until the caller closes. sent is the number of bytes that it could send.
func startEndless(t *testing.T, start, repeated string) (address string, sent *atomic.Int64) {
	sent = new(atomic.Int64)
	chunk := strings.Repeat(repeated, 1+4096/len(repeated))
	return startPeer(t, func(c net.Conn, _ int, _ string) bool {
		n, err := io.WriteString(c, start)
		for sent.Add(int64(n)); err == nil; sent.Add(int64(n)) {
			n, err = io.WriteString(c, chunk)
		}
		return false
	}), sent
}

// Bytes without end in a head, before it, in a body or behind it must end at a bound, with a
// closed connection and an unknown outcome, and not fill the memory until the deadline.
func TestEndlessResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	// Sockets buffer a few MB besides what is read.
	const buffered = 16 << 20
	for name, test := range map[string]struct {
		start, repeated string
		bound           int64
	}{
		"header line":    {"HTTP/1.1 200 OK\r\nX: ", "x", maxHeadBytes},
		"header lines":   {head, "X-Y: z\r\n", maxHeadBytes},
		"status line":    {"HTTP/1.1 200 ", "O", maxHeadBytes},
		"informational":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHeadBytes},
		"body":           {head + "\r\n", "x", 1 << 20},
		"chunks":         {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", 1 << 20},
		"chunk size":     {head + "Transfer-Encoding: chunked\r\n\r\n", "0", maxHeadBytes},
		"trailers":       {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Y: z\r\n", maxHeadBytes},
		"stated length":  {head + "Content-Length: 1000000000000\r\n\r\n", "x", maxHeadBytes},
		"not a response": {"", "garbage ", maxHeadBytes},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, sent := startEndless(t, test.start, test.repeated)
			p := NewPool(address, clock.System{}, testResponder{}, membudget.New(1<<20))
			started := time.Now()
			result := send(t, p, "1")
			is.Equal(result.Outcome, OutcomeUnknown)
			is.True(result.Err != nil)
			is.True(time.Since(started) < 2*time.Second) // not at the deadline of 3 s
			if n := sent.Load(); n > test.bound+buffered {
				t.Errorf("%d bytes were taken, the bound is %d", n, test.bound)
			}
		})
	}
}

// Many backend servers that send bodies without end must not hold more memory together than
// the budget.
func TestEndlessBodiesTogether(t *testing.T) {
	is := is.New(t)
	const budget, connections = 4 << 20, 200
	address, _ := startEndless(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "x")
	p := NewPool(address, clock.System{}, testResponder{}, membudget.New(budget))
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var wait sync.WaitGroup
	for range connections {
		wait.Go(func() {
			result := send(t, p, "1")
			// A dial may time out while 200 are made at once; the exchange is then still to come.
			for tries := 0; result.NotConnected && tries < connections; tries++ {
				result = send(t, p, "1")
			}
			if result.Outcome != OutcomeUnknown {
				t.Errorf("outcome %d, want unknown: %v", result.Outcome, result.Err)
			}
		})
	}
	wait.Wait()
	runtime.ReadMemStats(&after)
	// Each growth allocates twice the bytes before it, and the heads need some more.
	allocated := int64(after.TotalAlloc - before.TotalAlloc)
	t.Logf("%d MB were allocated for %d responses", allocated>>20, connections)
	is.True(allocated < connections*maxBodyBytes/8)
}

// FuzzReadResponse guards against a response that crashes the process, blocks the reader
// after the end of the connection, or leaves memory reserved.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte(encodeResponse("1", "body")))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\n" + encodeResponse("1", "")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		const budget = 1 << 20
		memory := membudget.New(budget)
		client, server := net.Pipe()
		go func() {
			server.Write(content) //nolint:errcheck // the reader may have closed the connection
			server.Close()
		}()
		response, _, err := newConn(client, memory).readResponse(http.MethodGet)
		if err == nil {
			response.Release()
		}
		client.Close()
		if _, _, err := memory.ReadAll(strings.NewReader(strings.Repeat("x", budget)), budget, budget); err != nil {
			t.Fatal("memory is still reserved after the response was released")
		}
	})
}
