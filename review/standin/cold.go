package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	coldStart   = 3 * time.Second
	coldPerS    = 21.0
	coldOverage = 1.5
	coldSlack   = 5.0
	restarts    = 22
	coldBound   = coldPerS*coldOverage + coldSlack
	// downTime is how long a worker that restarts does not listen.
	downTime = 50 * time.Millisecond
)

// coldWorker is a worker that may restart under its ID and address, and runs requests in its slots.
type coldWorker struct {
	*worker
	mu        sync.Mutex
	restarted time.Time
	arrivals  []arrival // of requests while it is cold
	running   int
	slots     chan struct{}
}

// arrival is a request that arrived at a worker.
type arrival struct{ sentAt, at time.Time }

// mostInSecond returns the largest number of requests that were sent and arrived inside one second.
func mostInSecond(arrivals []arrival) int {
	most := 0
	for _, first := range arrivals {
		count := 0
		for _, a := range arrivals {
			if !a.sentAt.Before(first.sentAt) && a.at.Sub(first.sentAt) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// coldCase checks rule FAILBACK: a cold worker gets in one second at most coldBound requests of all
// VMs. Workers restart under their IDs, as after a crash, and publish their new entries at once.
func coldCase(dir string, out io.Writer, trouble bool) (bool, error) {
	w, err := newWorld(dir, out, config(1.2, 0.2, 2))
	if err != nil {
		return false, err
	}
	defer w.end()
	zones := []string{"vacaria", "lages", "bom-jesus"}
	var workers []*coldWorker
	for i := range 7 {
		if err := w.startWorker(fmt.Sprintf("i-trilha-%d", i+1), "trilha", zones[i%3], 6); err != nil {
			return false, err
		}
		c := &coldWorker{worker: w.workers[i], slots: make(chan struct{}, 6)}
		c.serve = c.serveRequest
		workers = append(workers, c)
	}
	for i := range 11 {
		if err := w.startVM(i+1, zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, v := range w.vms {
		for n := range 2 {
			c := w.newClient(fmt.Sprintf("c%d-%d", i+1, n+1), v)
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.ExpFloat64() * float64(36*time.Millisecond))):
					}
					clients.Go(func() {
						c.send("trilha.example", 1200*time.Millisecond, 40*time.Millisecond+rand.N(50*time.Millisecond))
					})
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	for i := range restarts {
		if trouble {
			if err := workers[i%len(workers)].restart(); err != nil {
				return false, err
			}
		}
		time.Sleep(4200 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	broken := false
	for _, c := range workers {
		c.mu.Lock()
		most := mostInSecond(c.arrivals)
		c.mu.Unlock()
		if float64(most) > coldBound {
			broken = true
			w.record.printf("BROKEN   FAILBACK: %s got %d requests in one second while it was cold, %.1f are allowed", c.ID, most, coldBound)
		}
		w.record.printf("judged   %s: at most %d requests in one second while it was cold", c.ID, most)
	}
	return broken, nil
}

// restart ends the process of the worker: its connections break. A new one listens on the address
// after downTime, is cold and publishes its entry at once.
func (c *coldWorker) restart() error {
	c.world.record.printf("TROUBLE  %s crashes and starts again under its ID within %v, cold for %v", c.ID, downTime, coldStart)
	c.server.Close() //nolint:errcheck // the process ends
	time.Sleep(downTime)
	listener, err := net.Listen("tcp4", c.address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.restarted = time.Now()
	c.slots = make(chan struct{}, 6)
	c.running = 0
	c.mu.Unlock()
	c.worker.startAgain(coldStart)
	c.server = &http.Server{Handler: c.worker, ReadHeaderTimeout: time.Minute}
	go c.server.Serve(c.world.partition.Listen(listener)) //nolint:errcheck // it ends with Close
	return nil
}

func (c *coldWorker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.Headers.RequestID)
	source, _, _ := net.SplitHostPort(r.RemoteAddr)
	length, err := time.ParseDuration(r.Header.Get("X-Work-Ms") + "ms")
	if err != nil {
		length = 0
	}
	now := time.Now()
	c.mu.Lock()
	slots := c.slots
	cold := !c.restarted.IsZero() && now.Sub(c.restarted) < coldStart
	if cold {
		c.world.mu.Lock()
		c.arrivals = append(c.arrivals, arrival{c.world.sentAt[id], now})
		c.world.mu.Unlock()
		length *= 2
	}
	c.running++
	c.mu.Unlock()
	state := ""
	if cold {
		state = ", cold"
	}
	c.world.record.printf("run      %s at %s from %s%s", id, c.ID, source, state)
	slots <- struct{}{}
	select {
	case <-time.After(length):
	case <-r.Context().Done():
	}
	<-slots
	c.mu.Lock()
	if slots == c.slots {
		c.running--
	}
	running := c.running
	c.mu.Unlock()
	rw.Header().Set(wire.Headers.RequestID, id)
	rw.Header().Set(wire.Headers.Signature, "sig-"+c.ID)
	rw.Header().Set(wire.Headers.Load, fmt.Sprintf("%d,%d,6,100", min(running, 6), max(0, running-6)))
	fmt.Fprintf(rw, "%s ran %s\n", c.ID, r.URL.Path) //nolint:errcheck // the caller may be gone
}
