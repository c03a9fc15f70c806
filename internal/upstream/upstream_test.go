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
)

type responder struct{}

func (responder) ResponseID(h http.Header) string { return h.Get("X-Id") }

// peer is a backend server that answers each request with the given bytes.
func peer(t *testing.T, serve func(c net.Conn, number int, id string) (more bool)) string {
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

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, p *Pool, id string) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return p.Do(ctx, &Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}})
}

// TestReuse guards against a connection that is opened for each request.
func TestReuse(t *testing.T) {
	is := is.New(t)
	p := NewPool(peer(t, func(c net.Conn, _ int, id string) bool {
		_, err := io.WriteString(c, answer(id, "body-"+id))
		return err == nil
	}), clock.System{}, responder{})
	for i := range 3 {
		id := fmt.Sprint(i)
		result := do(t, p, id)
		is.Equal(result.Fate, FateAnswered)
		is.Equal(string(result.Response.Body), "body-"+id)
		is.Equal(result.Reused, i > 0)
	}
	is.Equal(p.Dials(), 1)
}

// TestLateSecondAnswer guards against a second answer to an earlier request that is
// taken for the answer to the next one.
func TestLateSecondAnswer(t *testing.T) {
	is := is.New(t)
	p := NewPool(peer(t, func(c net.Conn, number int, id string) bool {
		late := ""
		if number == 2 {
			late = answer("1", "late")
		}
		_, err := io.WriteString(c, late+answer(id, "body-"+id))
		return err == nil
	}), clock.System{}, responder{})
	do(t, p, "1")
	result := do(t, p, "2")
	is.Equal(result.Fate, FateAnswered)
	is.Equal(string(result.Response.Body), "body-2")
}

// TestExtraBytes guards against the use of a connection on which bytes arrived that
// belong to no request.
func TestExtraBytes(t *testing.T) {
	is := is.New(t)
	p := NewPool(peer(t, func(c net.Conn, _ int, id string) bool {
		_, err := io.WriteString(c, answer(id, "body-"+id)+answer(id, "extra"))
		return err == nil
	}), clock.System{}, responder{})
	for _, id := range []string{"1", "2"} {
		result := do(t, p, id)
		is.Equal(result.Fate, FateAnswered)
		is.Equal(string(result.Response.Body), "body-"+id)
		is.True(!result.Reused)
	}
}

// TestBroken guards against an incomplete or foreign answer that is taken for the
// answer, and against a fate that says "not sent" although the request arrived.
func TestBroken(t *testing.T) {
	for name, reply := range map[string]string{
		"cut body":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"cut chunk":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"other request": answer("9", "body"),
		"not HTTP":      "garbage\r\n\r\n",
		"nothing":       "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(peer(t, func(c net.Conn, _ int, _ string) bool {
				io.WriteString(c, reply) //nolint:errcheck // the test sees the result
				return false
			}), clock.System{}, responder{})
			result := do(t, p, "1")
			is.Equal(result.Fate, FateUnknown)
			is.True(result.Err != nil)
		})
	}
}

// TestUnframed guards against an answer without a length that ends with a reset and
// is taken for complete.
func TestUnframed(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset=", reset), func(t *testing.T) {
			is := is.New(t)
			p := NewPool(peer(t, func(c net.Conn, _ int, id string) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nbody") //nolint:errcheck // the test sees the result
				if reset {
					time.Sleep(50 * time.Millisecond)
					c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the test sees the result
				}
				return false
			}), clock.System{}, responder{})
			result := do(t, p, "1")
			is.Equal(result.Fate == FateAnswered, !reset)
		})
	}
}

// TestRefused guards against an unreachable backend server whose request counts as sent.
func TestRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	result := do(t, NewPool(address, clock.System{}, responder{}), "1")
	is.Equal(result.Fate, FateNotSent)
	is.True(result.Refused)
}

// TestCancelled guards against a connection that stays open when its request is
// given up: the backend server would work on.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	p := NewPool(peer(t, func(c net.Conn, _ int, _ string) bool {
		var b [1]byte
		_, err := c.Read(b[:])
		if err != nil {
			close(closed)
		}
		return false
	}), clock.System{}, responder{})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	result := p.Do(ctx, &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h"})
	is.Equal(result.Fate, FateUnknown)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// TestIdleLimit guards against requests on connections that the peer is known to
// drop after a shorter time than it states.
func TestIdleLimit(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	p := NewPool("127.0.0.1:1", fake, responder{})
	p.limitIdle(800 * time.Millisecond)
	client, server := net.Pipe()
	defer server.Close()
	p.open = 1
	p.idle = []*conn{{net: client, reader: bufio.NewReader(client), idleFor: time.Minute}}
	fake.Time = 500 * time.Millisecond
	is.Equal(p.pop(), nil) // 400 ms is the limit
	fake.Time = 10 * time.Minute
	is.Equal(p.currentLimit(fake.Time), time.Duration(0))
}
