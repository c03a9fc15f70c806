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
	Workers  int // of each of three services
	Clients  int
}

const (
	// startTimeout bounds the time until all VMs serve.
	startTimeout = 20 * time.Second
	// settleTime is the time without faults in which everything must serve again.
	settleTime = 15 * time.Second
	// finalPhase is the time at the end in which requests must succeed.
	finalPhase = 3 * time.Second
	// minFinalSuccess is the least share of them that must succeed.
	minFinalSuccess = 0.9
	// requestInterval is the time between the requests of one client.
	requestInterval = 25 * time.Millisecond
	// requestDeadline is how long clients wait.
	requestDeadline = 2 * time.Second
	// revokeWithin is the time until a withdrawn key must stop working.
	revokeWithin = 5 * time.Second
	// resumeGrace is the time after a pause in which late grants do not count.
	resumeGrace = 300 * time.Millisecond
	// tenantCount is the number of workspaces; each has two keys at first.
	tenantCount = 3
)

// Soak is one running soak.
type Soak struct {
	options    Options
	random     *rand.Rand
	log        *platformtest.Log
	logServer  *http.Server
	logAddress string // of the store
	vms        []*vm
	backends   []*backend
	resumedAt  atomic.Int64 // Unix ns of the last end of a pause
	// faultTimers and finishers end the faults that last.
	faultTimers []*time.Timer
	faultEnds   []func()

	mu             sync.Mutex
	runs           map[string]int // by request
	sent           map[string]platformtest.Request
	answeredNotRun map[string]int // status by request that was answered "not run"
	withdrawn      map[string]time.Time
	configVersion  int
	violations     []string
	answerCounts   map[string]int
	inFinalPhase   bool
	finalCounts    [2]int // asked and served in the final time
	events         []string
	started        time.Time
}

// Result is the outcome of a soak.
type Result struct {
	Violations []string
	Tally      map[string]int
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
		wait.Go(func() { s.runClient(clients, i) })
	}
	s.injectFaults(ctx)
	s.endFaults()
	clock.Sleep(ctx, settleTime)
	s.startFinalPhase()
	clock.Sleep(ctx, finalPhase)
	stopClients()
	wait.Wait()
	s.checkRecovery()
	return Result{Violations: s.violations, Tally: s.answerCounts, Events: s.events}, ctx.Err()
}

func newSoak(o Options) *Soak {
	return &Soak{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 77)), log: platformtest.NewLog(),
		runs: make(map[string]int), sent: make(map[string]platformtest.Request), answeredNotRun: make(map[string]int),
		withdrawn: make(map[string]time.Time), answerCounts: make(map[string]int), started: time.Now(),
	}
}

func (s *Soak) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.logAddress = listener.Addr().String()
	s.logServer = &http.Server{Handler: s.log, ReadHeaderTimeout: time.Minute}
	go s.logServer.Serve(listener) //nolint:errcheck // it ends with Close
	s.putConfig()
	for _, service := range services {
		for i := range s.options.Workers {
			w := &backend{soak: s, service: service, zone: zones[i%len(zones)]}
			if err := w.start(fmt.Sprintf("%s-%d", service, i)); err != nil {
				return err
			}
			s.backends = append(s.backends, w)
		}
	}
	for i := range s.options.VMs {
		v, err := newVM(s, i)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	for end := time.Now().Add(startTimeout); !s.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.Errorf("the VMs are not ready after %s", startTimeout)
		}
	}
	return nil
}

func (s *Soak) allReady() bool {
	for _, v := range s.vms {
		if !platformtest.Ready(v.readyAddress) {
			return false
		}
	}
	return true
}

var (
	services = []string{"read", "pay", "keyed"}
	zones    = []string{"north", "south"}
)

func callerKey(tenant, key int) string { return fmt.Sprintf("token-%d-%d", tenant, key) }

// putConfig writes the configuration with the keys that are not withdrawn.
func (s *Soak) putConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	c := platformtest.Config{Version: s.configVersion, Services: []platformtest.Service{
		{Name: "read", Kind: "safe", TimeoutS: 2}, {Name: "pay", Kind: "unsafe", TimeoutS: 2}, {Name: "keyed", Kind: "unsafe", Sharded: true, TimeoutS: 2},
	}}
	for t := range tenantCount {
		var keys []string
		for k := range 2 {
			if _, gone := s.withdrawn[callerKey(t, k)]; !gone {
				keys = append(keys, callerKey(t, k))
			}
		}
		c.Tenants = append(c.Tenants, platformtest.Tenant{Name: fmt.Sprint("tenant-", t), Keys: keys, Rate: 2000, Burst: 2000})
	}
	s.log.PutConfig(c)
}

// runClient sends requests until ctx ends. Clients keep a connection to one VM until
// it fails.
func (s *Soak) runClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(number)+1000))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	at := s.vms[number%len(s.vms)]
	for n := 0; ctx.Err() == nil; n++ {
		r := platformtest.Request{
			ID: fmt.Sprintf("c%d-%d", number, n), Method: http.MethodPost, Service: services[random.IntN(len(services))],
			Path: fmt.Sprintf("/p%d", n), CallerKey: callerKey(random.IntN(tenantCount), random.IntN(2)), Key: random.IntN(65536), Deadline: requestDeadline,
		}
		s.mu.Lock()
		s.sent[r.ID] = r
		gone, withdrawn := s.withdrawn[r.CallerKey]
		late := withdrawn && time.Since(gone) > revokeWithin
		s.mu.Unlock()
		answer := platformtest.Send(client, at.address(), r)
		s.checkAnswer(r, answer, late, withdrawn)
		if answer.Status != http.StatusOK {
			client.CloseIdleConnections()
			at = s.vms[random.IntN(len(s.vms))]
		}
		clock.Sleep(ctx, requestInterval)
	}
}

// checkAnswer checks one answer.
func (s *Soak) checkAnswer(r platformtest.Request, a platformtest.Answer, late, withdrawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerCounts[fmt.Sprint(r.Service, " ", a.Status)]++
	// The key may have been withdrawn while the request was under way.
	_, withdrawnNow := s.withdrawn[r.CallerKey]
	withdrawn = withdrawn || withdrawnNow
	if s.inFinalPhase && !withdrawn {
		s.finalCounts[0]++
		if a.Status == http.StatusOK {
			s.finalCounts[1]++
		}
	}
	switch {
	case a.Status == http.StatusOK && (a.Backend == "" || a.ID != r.ID):
		s.addViolation("request %s got a success that is not its own: id %q, worker %q", r.ID, a.ID, a.Backend)
	case a.Status == http.StatusOK && s.runs[r.ID] == 0:
		s.addViolation("request %s got a success and did not run", r.ID)
	case late && (a.Status == http.StatusOK || s.runs[r.ID] > 0):
		s.addViolation("request %s ran with key %s, withdrawn %s before", r.ID, r.CallerKey, time.Since(s.withdrawn[r.CallerKey]))
	case (a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound) && !withdrawn:
		s.addViolation("request %s got %d although it is proper", r.ID, a.Status)
	case a.NotRun():
		s.answeredNotRun[r.ID] = a.Status
		if s.runs[r.ID] > 0 && r.Service != "read" {
			s.addViolation("request %s got %d and has run", r.ID, a.Status)
		}
	}
}

// addViolation notes a broken promise. The caller holds the lock.
func (s *Soak) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%6.2f s ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// recordRun is told by workers when a request starts to run.
func (s *Soak) recordRun(w *backend, run platformtest.Run) {
	if run.Key >= 0 && w.service == "keyed" && w.currentBackend().HoldsByCheckedGrant(run.Key) {
		for _, other := range s.backends {
			if other != w && other.service == "keyed" && other.isAlive() && other.currentBackend().HoldsByCheckedGrant(run.Key) {
				s.mu.Lock()
				s.addViolation("key %d runs at %s while %s holds it", run.Key, run.Backend, other.currentBackend().ID)
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
		fmt.Sscanf(r.CallerKey, "token-%d-", &tenant) //nolint:errcheck // the token has that form
	}
	switch {
	case !known:
		s.addViolation("request %q runs that no client sent", run.Request)
	case r.Path != run.Path || r.Method != run.Method:
		s.addViolation("request %s runs as %s %s", run.Request, run.Method, run.Path)
	case run.Tenant != fmt.Sprint("tenant-", tenant) || run.Authorization != "":
		s.addViolation("request %s runs for %q with authorization %q", run.Request, run.Tenant, run.Authorization)
	case r.Service != w.service:
		s.addViolation("request %s for %s runs at %s", run.Request, r.Service, w.service)
	case s.runs[run.Request] > 1 && r.Service != "read":
		s.addViolation("request %s runs %d times", run.Request, s.runs[run.Request])
	case s.answeredNotRun[run.Request] != 0 && r.Service != "read":
		s.addViolation("request %s runs after its answer %d", run.Request, s.answeredNotRun[run.Request])
	}
}

func (s *Soak) startFinalPhase() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFinalPhase = true
}

// checkRecovery checks that everything serves again.
func (s *Soak) checkRecovery() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asked, served := s.finalCounts[0], s.finalCounts[1]; asked == 0 || float64(served) < minFinalSuccess*float64(asked) {
		s.addViolation("%d of %d requests succeed %s after the last fault", served, asked, settleTime)
	}
}

func (s *Soak) stop() {
	for _, v := range s.vms {
		v.kill()
	}
	for _, w := range s.backends {
		w.crash()
	}
	if s.logServer != nil {
		s.logServer.Close() //nolint:errcheck // the soak is over
	}
}

// recordEvent records a fault.
func (s *Soak) recordEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.2f s ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// openVMLog opens the log of a VM for appending.
func (s *Soak) openVMLog(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.options.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
