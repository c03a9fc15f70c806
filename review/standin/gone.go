package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// work is the run of one request at a worker that drops it when its connection closes.
type work struct {
	worker       string
	began, ended time.Time
	length       time.Duration
}

// workLog notes the runs of requests by request ID.
type workLog struct {
	mu   sync.Mutex
	runs map[string][]*work
}

// worksUntilClosed runs a request until its work is done or its connection closes.
func (l *workLog) worksUntilClosed(w *world, worker string, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.Headers.RequestID)
	length, err := time.ParseDuration(r.Header.Get("X-Work-Ms") + "ms")
	if err != nil {
		length = 0
	}
	run := &work{worker: worker, began: time.Now(), length: length}
	l.mu.Lock()
	l.runs[id] = append(l.runs[id], run)
	l.mu.Unlock()
	w.record.printf("run      %s at %s, %d ms of work", id, worker, length.Milliseconds())
	finished := true
	select {
	case <-time.After(length):
	case <-r.Context().Done():
		finished = false
	}
	l.mu.Lock()
	run.ended = time.Now()
	l.mu.Unlock()
	if !finished {
		w.record.printf("dropped  %s at %s", id, worker)
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set(wire.Headers.RequestID, id)
	rw.Header().Set(wire.Headers.Signature, "sig-"+worker)
	fmt.Fprintf(rw, "%s ran %s\n", worker, r.URL.Path) //nolint:errcheck // the caller may be gone
}

// pipelinedClient sends requests ahead on one connection.
type pipelinedClient struct {
	ids    []string
	closed time.Time // when it left; zero if it stayed
}

// goneCase checks rule GONE: half a second after a client has closed its connection, workers are
// still at work on at most a quarter of its idempotent requests that would have lasted so long.
// The clients send further requests before the first one has been answered.
func goneCase(dir string, out io.Writer, trouble bool) (bool, error) {
	const (
		rounds    = 8
		sentAhead = 24
		workMs    = 950
		leaveIn   = 250 * time.Millisecond
	)
	w, err := newWorld(dir, out, config(3, 0.5, 2))
	if err != nil {
		return false, err
	}
	defer w.end()
	log := &workLog{runs: make(map[string][]*work)}
	zones := []string{"vacaria", "lages", "bom-jesus"}
	for i := range 12 {
		id := fmt.Sprintf("i-trilha-%d", i+1)
		if err := w.startWorker(id, "trilha", zones[i%3], 6); err != nil {
			return false, err
		}
		w.workers[i].serve = func(rw http.ResponseWriter, r *http.Request) { log.worksUntilClosed(w, id, rw, r) }
	}
	for i := range 3 {
		if err := w.startVM(i+1, zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var others sync.WaitGroup
	for i := range 12 {
		c := w.newClient(fmt.Sprintf("c%d", i+1), w.vms[i%len(w.vms)])
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(30*time.Millisecond + rand.N(40*time.Millisecond)):
				}
				c.send("trilha.example", 3*time.Second, 100*time.Millisecond+rand.N(100*time.Millisecond))
			}
		})
	}
	time.Sleep(3 * time.Second)
	var clients []*pipelinedClient
	for round := range rounds {
		for _, name := range []string{"leaves", "stays"} {
			c, conn, err := w.sendAhead(fmt.Sprintf("%s%d", name, round+1), w.vms[round%len(w.vms)], sentAhead, workMs)
			if err != nil {
				return false, err
			}
			clients = append(clients, c)
			if name == "stays" || !trouble {
				others.Go(func() { w.readAnswers(conn, c.ids) })
				continue
			}
			others.Go(func() {
				time.Sleep(leaveIn)
				conn.Close() //nolint:errcheck // the client leaves
				c.closed = time.Now()
				w.record.printf("TROUBLE  the client of %s leaves: it closes the connection", c.ids[0])
			})
		}
		time.Sleep(2750 * time.Millisecond)
	}
	close(stop)
	others.Wait()
	return w.judgeGone(clients, log), nil
}

// sendAhead sends requests on one connection before the first one is answered.
func (w *world) sendAhead(name string, v *vm, count, workMs int) (*pipelinedClient, net.Conn, error) {
	c := &pipelinedClient{}
	conn, err := net.Dial("tcp4", v.front())
	if err != nil {
		return nil, nil, err
	}
	var content strings.Builder
	for n := range count {
		id := fmt.Sprintf("%s-%02d", name, n+1)
		c.ids = append(c.ids, id)
		fmt.Fprintf(&content, "GET /lookup/%s HTTP/1.1\r\nHost: trilha.example\r\n%s: %s\r\n%s: 3000\r\nAuthorization: Token %s\r\nX-Work-Ms: %d\r\n\r\n",
			id, wire.Headers.RequestID, id, wire.Headers.Deadline, callerKey, workMs)
	}
	w.record.printf("sent     %d requests ahead on one connection to %s: %s to %s", count, v.name, c.ids[0], c.ids[count-1])
	_, err = io.WriteString(conn, content.String())
	return c, conn, err
}

// readAnswers reads the answers to the requests that were sent ahead.
func (w *world) readAnswers(conn net.Conn, ids []string) {
	defer conn.Close()                                     //nolint:errcheck // all answers were read
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a closed connection fails the read below
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			w.record.printf("answered %s: %v", id, err)
			return
		}
		io.Copy(io.Discard, response.Body) //nolint:errcheck // only the status is used
		w.record.printf("answered %s status %d", id, response.StatusCode)
	}
}

// judgeGone reports whether the rule was broken.
func (w *world) judgeGone(clients []*pipelinedClient, log *workLog) bool {
	const after = 500 * time.Millisecond
	log.mu.Lock()
	defer log.mu.Unlock()
	total, still := 0, 0
	for _, c := range clients {
		if c.closed.IsZero() {
			continue
		}
		for _, id := range c.ids {
			lasting, working := false, false
			for _, run := range log.runs[id] {
				if run.began.After(c.closed) || run.began.Add(run.length).Before(c.closed.Add(after)) {
					continue
				}
				lasting = true
				working = working || run.ended.IsZero() || run.ended.After(c.closed.Add(after))
			}
			if lasting {
				total++
			}
			if working {
				still++
				w.record.printf("BROKEN   GONE: a worker was still at work on %s half a second after its client had left", id)
			}
		}
	}
	w.record.printf("judged   workers were still at work on %d of %d requests; a quarter is allowed", still, total)
	return 4*still > total
}
