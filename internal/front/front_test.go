package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/forward"
	"fireflyfield/internal/membudget"
)

// handlerFunc is a function that implements Handler.
type handlerFunc func(ctx context.Context, r *forward.Request) *forward.Answer

func (f handlerFunc) Handle(ctx context.Context, r *forward.Request) *forward.Answer {
	return f(ctx, r)
}

// echo answers with the target and the body of the request.
func echo(_ context.Context, r *forward.Request) *forward.Answer {
	return &forward.Answer{Status: 200, Header: http.Header{"X-Id": r.Header["X-Id"]}, Body: append([]byte(r.Target+" "), r.Body...)}
}

// startServer starts a server with small limits and connects to it.
func startServer(t *testing.T, h Handler) (*Server, net.Conn, *bufio.Reader) {
	t.Helper()
	return startServerWith(t, h, func(*Server) {})
}

// startServerWith is startServer with other settings.
func startServerWith(t *testing.T, h Handler, set func(*Server)) (*Server, net.Conn, *bufio.Reader) {
	t.Helper()
	s := &Server{
		Handler: h, Clock: clock.System{}, Log: zap.NewNop(), MaxConnections: 10,
		Limits: func() fleet.Limits {
			return fleet.Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
		},
	}
	set(s)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go s.Serve(listener) //nolint:errcheck // it ends with the listener
	c, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return s, c, bufio.NewReader(c)
}

// getRequest returns the bytes of a GET request with the ID as path and header.
func getRequest(id string) string {
	return fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n\r\n", id, id)
}

// readResponse reads one response and its body.
func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// Pipelined requests must be handled concurrently, and each must receive its own
// response.
func TestPipelinedOrder(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	_, c, r := startServer(t, handlerFunc(func(ctx context.Context, q *forward.Request) *forward.Answer {
		switch q.Target {
		case "/1":
			<-second // the second request runs at the same time
		case "/2":
			close(second)
		}
		return echo(ctx, q)
	}))
	_, err := io.WriteString(c, getRequest("1")+getRequest("2")+getRequest("3"))
	is.NoErr(err)
	for _, id := range []string{"1", "2", "3"} {
		response, body := readResponse(t, r)
		is.Equal(response.Header.Get("X-Id"), id)
		is.Equal(body, "/"+id+" ")
	}
}

// Request bodies must not be changed or be taken for the next request.
func TestBodies(t *testing.T) {
	is := is.New(t)
	_, c, r := startServer(t, handlerFunc(echo))
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"+
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+getRequest("c"))
	is.NoErr(err)
	for _, want := range []string{"/a hello", "/b abcde", "/c "} {
		_, body := readResponse(t, r)
		is.Equal(body, want)
	}
}

// Malformed and too large requests must be rejected and not reach the handler.
func TestInvalidRequests(t *testing.T) {
	for _, test := range []struct {
		name, request string
		status        int
	}{
		{"malformed", "nonsense\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"tunnel", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 405},
		{"large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413},
		{"large head", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 3000) + "\r\n\r\n", 431},
		{"endless head", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000), 431},
		{"slow head", "GET / HTTP/1.1\r\n", 408},
		{"slow body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", 408},
		{"slow chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", 408},
		{"slow length of a chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5", 408},
		{"slow end of a chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r", 408},
		{"slow trailer", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\nX", 408},
		{"slow line of the head", "GET / HTTP/1.1\r\nHos", 408},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, c, r := startServer(t, handlerFunc(func(context.Context, *forward.Request) *forward.Answer {
				t.Error("the request was handled")
				return &forward.Answer{Status: 200}
			}))
			_, err := io.WriteString(c, test.request)
			is.NoErr(err)
			response, _ := readResponse(t, r)
			is.Equal(response.StatusCode, test.status)
			is.True(response.Close)
		})
	}
}

// Work must stop when the caller disconnects, also for pipelined requests.
func TestCallerDisconnect(t *testing.T) {
	cancelled := make(chan struct{}, 2)
	_, c, _ := startServer(t, handlerFunc(func(ctx context.Context, q *forward.Request) *forward.Answer {
		<-ctx.Done()
		cancelled <- struct{}{}
		return echo(ctx, q)
	}))
	if _, err := io.WriteString(c, getRequest("1")+getRequest("2")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	c.Close()
	for range 2 {
		select {
		case <-cancelled:
		case <-time.After(5 * time.Second):
			t.Fatal("the request still runs 5 s after its caller disconnected")
		}
	}
}

// A planned stop must neither interrupt a request nor leave a connection open.
func TestDrainClosesConnections(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s, c, r := startServer(t, handlerFunc(func(ctx context.Context, q *forward.Request) *forward.Answer {
		if q.Target == "/2" {
			<-release
		}
		return echo(ctx, q)
	}))
	_, err := io.WriteString(c, getRequest("1"))
	is.NoErr(err)
	response, _ := readResponse(t, r)
	is.True(!response.Close)
	_, err = io.WriteString(c, getRequest("2"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	s.Drain()
	s.CloseIdle() // keeps the connection, which has a request in progress
	close(release)
	response, body := readResponse(t, r)
	is.Equal(body, "/2 ")
	is.True(response.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s.Wait(ctx)
	is.NoErr(ctx.Err())
}

// A request that has begun to arrive when idle connections are closed must be answered: it
// was read and dropped once, and its caller waited for an answer in vain.
func TestRequestDuringCloseIdle(t *testing.T) {
	is := is.New(t)
	s, c, r := startServer(t, handlerFunc(echo))
	request := getRequest("1")
	_, err := io.WriteString(c, request[:10])
	is.NoErr(err)
	for reading := false; !reading; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for connection := range s.conns {
			connection.mu.Lock()
			reading = connection.reading
			connection.mu.Unlock()
		}
		s.mu.Unlock()
	}
	s.Drain()
	s.CloseIdle()
	_, err = io.WriteString(c, request[10:])
	is.NoErr(err)
	response, body := readResponse(t, r)
	is.Equal(body, "/1 ")
	is.True(response.Close)
}

// A request on a connection that is closed as idle must not be read, so that its caller may
// send it again whatever its kind.
func TestRequestAfterCloseIdle(t *testing.T) {
	is := is.New(t)
	handled := make(chan struct{}, 1)
	s, c, r := startServer(t, handlerFunc(func(ctx context.Context, q *forward.Request) *forward.Answer {
		handled <- struct{}{}
		return echo(ctx, q)
	}))
	for s.OpenConnections() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	s.CloseIdle()
	io.WriteString(c, getRequest("1")) //nolint:errcheck // the connection is closed
	_, err := http.ReadResponse(r, nil)
	is.True(err != nil)
	select {
	case <-handled:
		t.Error("a request on a closed connection was handled")
	default:
	}
}

// While the server drains, an idle connection must be answered once more, with the statement
// that it closes, and the response must arrive although the caller has sent on.
func TestDrainAnswersIdleConnection(t *testing.T) {
	is := is.New(t)
	s, c, r := startServer(t, handlerFunc(echo))
	_, err := io.WriteString(c, getRequest("1"))
	is.NoErr(err)
	readResponse(t, r)
	s.Drain()
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(c, getRequest("2"))
	is.NoErr(err)
	response, body := readResponse(t, r)
	is.Equal(body, "/2 ")
	is.True(response.Close)
}

// TestCloseIdleDuringAnswer guards against an answer that is cut off since its connection counts as
// idle while the answer is being written: its caller reads slowly. The answer may be the last one
// of the connection or not.
func TestCloseIdleDuringAnswer(t *testing.T) {
	const size = 16 << 20 // more than the buffers of the connection hold
	for _, drainFirst := range []bool{true, false} {
		is := is.New(t)
		s, c, r := startServer(t, handlerFunc(func(context.Context, *forward.Request) *forward.Answer {
			return &forward.Answer{Status: 200, Header: http.Header{}, Body: make([]byte, size)}
		}))
		if drainFirst {
			s.Drain()
		}
		_, err := io.WriteString(c, getRequest("1"))
		is.NoErr(err)
		_, err = r.Peek(1) // the answer is being written
		is.NoErr(err)
		s.Drain()
		s.CloseIdle()
		_, body := readResponse(t, r)
		is.Equal(len(body), size)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		s.Wait(ctx)
		is.NoErr(ctx.Err()) // the connection has ended, although its caller keeps it open
		cancel()
	}
}

// The caller of a connection over the limit must get an answer that its request has not run,
// not a closed connection.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s, c, r := startServer(t, handlerFunc(echo))
	_, err := io.WriteString(c, getRequest("1"))
	is.NoErr(err)
	readResponse(t, r)
	for s.OpenConnections() < s.MaxConnections {
		another, err := net.Dial("tcp4", c.RemoteAddr().String())
		is.NoErr(err)
		defer another.Close()
		time.Sleep(time.Millisecond)
	}
	over, err := net.Dial("tcp4", c.RemoteAddr().String())
	is.NoErr(err)
	defer over.Close()
	_, err = io.WriteString(over, getRequest("2"))
	is.NoErr(err)
	response, _ := readResponse(t, bufio.NewReader(over))
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.True(response.Close)
}

// Answers that are ready must be delivered to a caller that closed its sending side.
func TestHalfClosedCaller(t *testing.T) {
	is := is.New(t)
	_, c, r := startServer(t, handlerFunc(echo))
	_, err := io.WriteString(c, getRequest("1")+getRequest("2"))
	is.NoErr(err)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	for _, id := range []string{"1", "2"} {
		_, body := readResponse(t, r)
		is.Equal(body, "/"+id+" ")
	}
}

// No input of a caller may crash the process or block the connection.
func FuzzConnection(f *testing.F) {
	f.Add([]byte(getRequest("1") + getRequest("2")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		client, server := net.Pipe()
		s := &Server{
			Handler: handlerFunc(echo), Clock: clock.System{}, Log: zap.NewNop(), MaxConnections: 1,
			Limits: func() fleet.Limits {
				return fleet.Limits{HeaderBytes: 500, BodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			},
		}
		s.startConnection(server)
		go func() {
			client.Write(input) //nolint:errcheck // the server may have closed the connection
			time.Sleep(time.Millisecond)
			client.Close()
		}()
		io.Copy(io.Discard, client) //nolint:errcheck // any end will do
		s.active.Wait()
	})
}

// Many large uploads at once must not hold more memory than the budget. Those for which none
// is left must be rejected as not run while their callers are still sending, and the memory
// must be free again afterwards.
func TestUploadMemory(t *testing.T) {
	is := is.New(t)
	const size, uploads, fitting = 1000, 9, 3
	release := make(chan struct{})
	running := make(chan struct{}, uploads)
	_, c, _ := startServerWith(t, handlerFunc(func(ctx context.Context, q *forward.Request) *forward.Answer {
		running <- struct{}{}
		<-release
		return echo(ctx, q)
	}), func(s *Server) { s.MaxConnections, s.Memory = 100, membudget.New(fitting*size+size/2) })
	upload := func(content string) *bufio.Reader {
		another, err := net.Dial("tcp4", c.RemoteAddr().String())
		is.NoErr(err)
		t.Cleanup(func() { another.Close() })
		_, err = io.WriteString(another, fmt.Sprintf("POST /u HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, content))
		is.NoErr(err)
		return bufio.NewReader(another)
	}
	var held []*bufio.Reader
	for range fitting {
		held = append(held, upload(strings.Repeat("x", size)))
		<-running
	}
	for range uploads - fitting {
		response, _ := readResponse(t, upload("only the beginning"))
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Header.Get("Retry-After") != "")
	}
	close(release)
	for _, r := range held {
		response, body := readResponse(t, r)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(len(body), len("/u ")+size)
	}
	for range fitting {
		response, _ := readResponse(t, upload(strings.Repeat("y", size)))
		is.Equal(response.StatusCode, http.StatusOK)
	}
}
