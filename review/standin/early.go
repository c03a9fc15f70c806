package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// earlyCase checks rule BUDGET for Retry-After with long uploads: the workers turn them away
// before they have read the body, keep the connection and read on later.
func earlyCase(dir string, out io.Writer, trouble bool) (bool, error) {
	const (
		bodyBytes = 8 << 20
		pause     = 20 * time.Second
		readOn    = 2 * time.Second // from the early answer on
		deadline  = 1500 * time.Millisecond
	)
	w, err := newWorld(dir, out, uploadConfig())
	if err != nil {
		return false, err
	}
	defer w.end()
	var mu sync.Mutex
	arrivals := make(map[string][]time.Time) // by worker and VM
	var full time.Time                       // until when the workers take no uploads
	zones := []string{"vacaria", "lages", "bom-jesus"}
	for i := range 6 {
		id := fmt.Sprintf("i-carga-%d", i+1)
		if err := w.startWorker(id, "carga", zones[i%3], 6); err != nil {
			return false, err
		}
		w.workers[i].serve = func(rw http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("Fireflyfield-Request-Id")
			source, _, _ := net.SplitHostPort(r.RemoteAddr)
			rw.Header().Set("Fireflyfield-Request-Id", request)
			mu.Lock()
			left := time.Until(full)
			if left > 0 {
				arrivals[id+" "+source] = append(arrivals[id+" "+source], time.Now())
			}
			mu.Unlock()
			if left > 0 {
				control := http.NewResponseController(rw)
				control.EnableFullDuplex() //nolint:errcheck // HTTP/1.1 allows it
				rw.Header().Set("Fireflyfield-Not-Executed", "1")
				rw.Header().Set("Retry-After", strconv.Itoa(int(left.Seconds())))
				rw.Header().Set("Content-Length", "0")
				rw.WriteHeader(http.StatusServiceUnavailable)
				control.Flush() //nolint:errcheck // a closed connection fails the read below
				w.record.printf("early    %s answers %s of %s: 503, not executed, Retry-After %d", id, request, source, int(left.Seconds()))
				time.Sleep(readOn)
				io.Copy(io.Discard, r.Body) //nolint:errcheck // the rest of a request that was turned away
				return
			}
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			w.record.printf("run      %s at %s from %s, %d bytes", request, id, source, n)
			time.Sleep(40 * time.Millisecond)
			rw.Header().Set("Fireflyfield-Response-Signature", "sig-"+id)
			fmt.Fprintf(rw, "%s ran %s\n", id, r.URL.Path) //nolint:errcheck // the caller may be gone
		}
	}
	for i := range 3 {
		if err := w.startVM(i+1, zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, v := range w.vms {
		c := w.newClient(fmt.Sprintf("c%d", i+1), v)
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				clients.Go(func() { c.upload(body, deadline) })
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		mu.Lock()
		full = time.Now().Add(pause)
		mu.Unlock()
		w.record.printf("TROUBLE  all workers turn uploads away for %v, before they have read them", pause)
	}
	time.Sleep(pause)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for pair, times := range arrivals {
		late := 0
		for _, at := range times {
			// Retry-After is rounded down, so the last second does not count.
			if at.Sub(times[0]) > 500*time.Millisecond && at.Before(full.Add(-time.Second)) {
				late++
			}
		}
		w.record.printf("judged   worker and VM %s: %d requests between half a second after the first 503 and the end of the pause, two are allowed", pair, late)
		broken = broken || late > 2
	}
	w.record.printf("judged   broken %t", broken)
	return broken, nil
}

// upload sends a request with a long body that is not idempotent.
func (c *client) upload(body []byte, deadline time.Duration) {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%s-%05d", c.name, c.n)
	c.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+c.vm.front()+"/upload/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Host = "carga.example"
	request.Header.Set("Fireflyfield-Request-Id", id)
	request.Header.Set("Fireflyfield-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+callerKey)
	c.world.record.printf("sent     %s to %s, %d bytes", id, c.vm.name, len(body))
	began := time.Now()
	a := c.receive(request, deadline)
	c.world.record.printf("answered %s status %d signed by %q after %d ms%s", id, a.status, a.worker, time.Since(began).Milliseconds(), errorText(a.err))
}

// uploadConfig returns a configuration with one route whose requests are not idempotent.
func uploadConfig() []byte {
	content := config(1.5, 0.25, 2)
	content = bytes.ReplaceAll(content, []byte("trilha"), []byte("carga"))
	content = bytes.ReplaceAll(content, []byte("lookup"), []byte("upload"))
	content = bytes.ReplaceAll(content, []byte(`"safe"`), []byte(`"unsafe"`))
	return bytes.ReplaceAll(content, []byte(`"maxBodyBytes":1048576`), []byte(`"maxBodyBytes":67108864`))
}
