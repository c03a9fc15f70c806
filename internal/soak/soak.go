package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/clock"
	"fireflyfield/platform/platformtest"
)

// Options describe one soak.
type Options struct {
	// Binary is the program that runs the VMs.
	Binary string
	// Dir gets the settings and the logs of the VMs.
	Dir      string
	Seed     uint64
	Duration time.Duration // of the faults
	VMs      int
	BackendsPerService  int // of each of three services
	Clients  int
}

const (
	// startLimit bounds the time until all VMs serve.
	startLimit = 20 * time.Second
	// settleTime is the time without faults in which everything must serve again.
	settleTime = 15 * time.Second
	// finalTime is the time at the end in which requests must succeed.
	finalTime = 3 * time.Second
	// finalShare is the least share of them that must succeed.
	finalShare = 0.9
	// requestPause is the time between the requests of one client.
	requestPause = 25 * time.Millisecond
	// deadline is how long clients wait.
	deadline = 2 * time.Second
	// revokeWithin is the time until a withdrawn key must stop working.
	revokeWithin = 5 * time.Second
	// thawSlack is the time after a pause in which late grants do not count.
	thawSlack = 300 * time.Millisecond
	// tenants is the number of workspaces; each has two keys at first.
	tenants = 3
)

// Soak is one running soak.
type Soak struct {
	o       Options
	random  *rand.Rand
	store   *platformtest.Store
	server  *http.Server
	address string // of the store
	vms     []*vm
	workers []*worker
	thawed  atomic.Int64 // Unix ns of the last end of a pause
	// healing and finishers end the faults that last.
	healing   []*time.Timer
	finishers []func()

	mu         sync.Mutex
	runs       map[string]int // by request
	sent       map[string]platformtest.Request
	promised   map[string]int // status by request that was answered "not run"
	withdrawn  map[string]time.Time
	version    int
	violations []string
	tally      map[string]int
	final      bool
	finals     [2]int // asked and served in the final time
	events     []string
	started    time.Time
}

// Result is the outcome of a soak.
type Result struct {
	Violations []string
	AnswerCounts      map[string]int
	Events     []string
}

// Run plays one soak.
func Run(ctx context.Context, o Options) (Result, error) {
	s := newSoak(o)
	defer s.stop()
	if err := s.start(); err != nil {
		return Result{}, err
	}
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var wait sync.WaitGroup
	for i := range o.Clients {
		wait.Go(func() { s.client(clients, i) })
	}
	s.inject(ctx)
	s.heal()
	clock.Sleep(ctx, settleTime)
	s.setFinal()
	clock.Sleep(ctx, finalTime)
	stopClients()
	wait.Wait()
	s.checkEnd()
	return Result{Violations: s.violations, AnswerCounts: s.tally, Events: s.events}, ctx.Err()
}

func newSoak(o Options) *Soak {
	return &Soak{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 77)), store: platformtest.NewStore(),
		runs: make(map[string]int), sent: make(map[string]platformtest.Request), promised: make(map[string]int),
		withdrawn: make(map[string]time.Time), tally: make(map[string]int), started: time.Now(),
	}
}

func (s *Soak) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go s.server.Serve(listener) //nolint:errcheck // it ends with Close
	s.putConfig()
	for _, service := range services {
		for i := range s.o.BackendsPerService {
			w := &worker{soak: s, service: service, zone: zones[i%len(zones)]}
			if err := w.start(fmt.Sprintf("%s-%d", service, i)); err != nil {
				return err
			}
			s.workers = append(s.workers, w)
		}
	}
	for i := range s.o.VMs {
		v, err := newVM(s, i)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	for end := time.Now().Add(startLimit); !s.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.Errorf("the VMs are not ready after %s", startLimit)
		}
	}
	return nil
}

func (s *Soak) allReady() bool {
	for _, v := range s.vms {
		if !platformtest.Ready(v.ready) {
			return false
		}
	}
	return true
}

var (
	services = []string{"read", "pay", "keyed"}
	zones    = []string{"north", "south"}
)

func token(tenant, key int) string { return fmt.Sprintf("token-%d-%d", tenant, key) }

// putConfig writes the configuration with the keys that are not withdrawn.
func (s *Soak) putConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	c := platformtest.Config{Version: s.version, Services: []platformtest.Service{
		{Name: "read", Kind: "safe", TimeoutS: 2}, {Name: "pay", Kind: "unsafe", TimeoutS: 2}, {Name: "keyed", Kind: "unsafe", Sharded: true, TimeoutS: 2},
	}}
	for t := range tenants {
		var keys []string
		for k := range 2 {
			if _, gone := s.withdrawn[token(t, k)]; !gone {
				keys = append(keys, token(t, k))
			}
		}
		c.Tenants = append(c.Tenants, platformtest.Tenant{Name: fmt.Sprint("tenant-", t), Keys: keys, Rate: 2000, Burst: 2000})
	}
	s.store.PutConfig(c)
}

// client sends requests until ctx ends. Clients keep a connection to one VM until
// it fails.
func (s *Soak) client(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.o.Seed, uint64(number)+1000))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	at := s.vms[number%len(s.vms)]
	for n := 0; ctx.Err() == nil; n++ {
		r := platformtest.Request{
			ID: fmt.Sprintf("c%d-%d", number, n), Method: http.MethodPost, Service: services[random.IntN(len(services))],
			Path: fmt.Sprintf("/p%d", n), Token: token(random.IntN(tenants), random.IntN(2)), Key: random.IntN(65536), Deadline: deadline,
		}
		s.mu.Lock()
		s.sent[r.ID] = r
		gone, withdrawn := s.withdrawn[r.Token]
		late := withdrawn && time.Since(gone) > revokeWithin
		s.mu.Unlock()
		answer := platformtest.Send(client, at.address(), r)
		s.judge(r, answer, late, withdrawn)
		if answer.Status != http.StatusOK {
			client.CloseIdleConnections()
			at = s.vms[random.IntN(len(s.vms))]
		}
		clock.Sleep(ctx, requestPause)
	}
}

// judge checks one answer.
func (s *Soak) judge(r platformtest.Request, a platformtest.Answer, late, withdrawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally[fmt.Sprint(r.Service, " ", a.Status)]++
	// The key may have been withdrawn while the request was under way.
	_, withdrawnNow := s.withdrawn[r.Token]
	withdrawn = withdrawn || withdrawnNow
	if s.final && !withdrawn {
		s.finals[0]++
		if a.Status == http.StatusOK {
			s.finals[1]++
		}
	}
	switch {
	case a.Status == http.StatusOK && (a.Worker == "" || a.ID != r.ID):
		s.violate("request %s got a success that is not its own: id %q, worker %q", r.ID, a.ID, a.Worker)
	case a.Status == http.StatusOK && s.runs[r.ID] == 0:
		s.violate("request %s got a success and did not run", r.ID)
	case late && (a.Status == http.StatusOK || s.runs[r.ID] > 0):
		s.violate("request %s ran with key %s, withdrawn %s before", r.ID, r.Token, time.Since(s.withdrawn[r.Token]))
	case (a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound) && !withdrawn:
		s.violate("request %s got %d although it is proper", r.ID, a.Status)
	case a.Promises():
		s.promised[r.ID] = a.Status
		if s.runs[r.ID] > 0 && r.Service != "read" {
			s.violate("request %s got %d and has run", r.ID, a.Status)
		}
	}
}

// violate notes a broken promise. The caller holds the lock.
func (s *Soak) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%6.2f s ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// ran is told by workers when a request starts to run.
func (s *Soak) ran(w *worker, run platformtest.Run) {
	if run.Key >= 0 && w.service == "keyed" && w.current().Holds(run.Key) {
		for _, other := range s.workers {
			if other != w && other.service == "keyed" && other.up() && other.current().Holds(run.Key) {
				s.mu.Lock()
				s.violate("key %d runs at %s while %s holds it", run.Key, run.Worker, other.current().ID)
				s.mu.Unlock()
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run.Request]++
	r, known := s.sent[run.Request]
	var tenant int
	if known {
		fmt.Sscanf(r.Token, "token-%d-", &tenant) //nolint:errcheck // the token has that form
	}
	switch {
	case !known:
		s.violate("request %q runs that no client sent", run.Request)
	case r.Path != run.Path || r.Method != run.Method:
		s.violate("request %s runs as %s %s", run.Request, run.Method, run.Path)
	case run.Tenant != fmt.Sprint("tenant-", tenant) || run.Authorization != "":
		s.violate("request %s runs for %q with authorization %q", run.Request, run.Tenant, run.Authorization)
	case r.Service != w.service:
		s.violate("request %s for %s runs at %s", run.Request, r.Service, w.service)
	case s.runs[run.Request] > 1 && r.Service != "read":
		s.violate("request %s runs %d times", run.Request, s.runs[run.Request])
	case s.promised[run.Request] != 0 && r.Service != "read":
		s.violate("request %s runs after its answer %d", run.Request, s.promised[run.Request])
	}
}

func (s *Soak) setFinal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.final = true
}

// checkEnd checks that everything serves again.
func (s *Soak) checkEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asked, served := s.finals[0], s.finals[1]; asked == 0 || float64(served) < finalShare*float64(asked) {
		s.violate("%d of %d requests succeed %s after the last fault", served, asked, settleTime)
	}
}

func (s *Soak) stop() {
	for _, v := range s.vms {
		v.end()
	}
	for _, w := range s.workers {
		w.crash()
	}
	if s.server != nil {
		s.server.Close() //nolint:errcheck // the soak is over
	}
}

// note records a fault.
func (s *Soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.2f s ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// logFile opens the log of a VM for appending.
func (s *Soak) logFile(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.o.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
