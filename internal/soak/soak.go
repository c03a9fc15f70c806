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

// Options are the parameters of one soak run.
type Options struct {
	// Binary is the path of the executable that runs the VMs.
	Binary string
	// OldBinary, if not empty, is the executable that the VMs run first. They are stopped and
	// started with Binary one after the other in the time of the faults.
	OldBinary string
	// Dir is the directory for the settings files and the logs of the VMs.
	Dir                string
	Seed               uint64        // of the faults and requests
	Duration           time.Duration // time in which faults are injected
	VMs                int           // number of VMs
	BackendsPerService int           // number of backend servers of each of the three services
	Clients            int           // number of clients that send requests one after the other
}

const (
	// startTimeout bounds the time until all VMs are ready.
	startTimeout = 20 * time.Second
	// settleTime is the time after the last fault in which the system has to recover.
	settleTime = 15 * time.Second
	// finalPhase is the time after settleTime in which requests have to succeed.
	finalPhase = 3 * time.Second
	// minFinalSuccess is the fraction of the requests in finalPhase that has to succeed.
	minFinalSuccess = 0.9
	// requestInterval is the time from an answer to the next request of a client.
	requestInterval = 25 * time.Millisecond
	// requestDeadline is the deadline that clients send with each request.
	requestDeadline = 2 * time.Second
	// revokeWithin is the time after which a withdrawn caller key must not work any
	// longer.
	revokeWithin = 5 * time.Second
	// resumeGrace is the time after a paused VM or an impaired proxy resumed in which
	// arriving grants are exempt from the check that no two backend servers hold the same
	// key: they may have been delayed.
	resumeGrace = 300 * time.Millisecond
	// tenantCount is the number of workspaces. Each starts with two caller keys.
	tenantCount = 3
	// copyInterval is the time between two copies of the shared log, and maxCopies the
	// number of copies that are kept.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 12
)

// Soak is the state of one soak run.
type Soak struct {
	options    Options
	random     *rand.Rand
	log        *platformtest.Log
	partition  *platformtest.Partition // of VMs from all backend servers
	logServer  *http.Server
	logAddress string // HOST:PORT of the shared log
	vms        []*vm
	backends   []*backend
	resumedAt  atomic.Int64 // Unix time in ns at which a paused VM or an impaired proxy last resumed
	// faultTimers and faultEnds have one element for each fault with a duration: the
	// timer that ends it, and the function that the timer calls.
	faultTimers []*time.Timer
	faultEnds   []func()

	plannedStops atomic.Int64   // number of planned stops that have begun
	late         sync.WaitGroup // requests of sendLateRequests

	// rewriting is held while the operator writes to the shared log, so that it writes
	// again what a restore has lost in the order in which it was written.
	rewriting sync.Mutex
	evacuated bool // whether the first failure domain is evacuated

	mu             sync.Mutex
	copies         []platformtest.Copy // of the shared log, the newest last
	tokens         tokenTable
	runs           map[string]int                  // number of runs by request ID
	sent           map[string]platformtest.Request // by request ID
	answeredNotRun map[string]int                  // by request ID: status of an answer that guarantees that it has not run
	withdrawn      map[string]time.Time            // by caller key: when its withdrawal was written
	configVersion  int
	violations     []string
	answerCounts   map[string]int // by service and status
	inFinalPhase   bool
	finalCounts    [2]int         // requests sent and requests that succeeded in finalPhase
	firstTries     map[*vm]*tries // nil while they are not counted
	firstTriesFrom time.Time
	crashes        []time.Time // ends of backend servers by a request that crashes them
	crashingRuns   []time.Time // starts of runs of such requests
	events         []string
	started        time.Time
}

// Result is the result of a soak run. Events and violations are lines that begin with the
// time in seconds since the start. AnswerCounts is by service and status.
type Result struct {
	Violations   []string
	AnswerCounts map[string]int
	Events       []string
}

// Run runs one soak: it starts everything, injects faults while clients send requests,
// ends the faults, and checks that requests succeed again. Broken guarantees are in the
// result; the error says that the run itself failed or was cancelled.
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
	go s.copyLog(clients)
	restores, stopRestores := context.WithCancel(ctx)
	defer stopRestores()
	var notices sync.WaitGroup
	notices.Go(func() { s.injectNotices(restores) })
	notices.Go(func() { s.injectCuts(restores) })
	notices.Go(func() { s.injectKeyedFaults(restores) })
	notices.Go(func() { s.upgradeVMs(restores) })
	notices.Go(func() { s.sendCrashing(restores, s.randomCrashingPath(), crashingInterval) })
	go s.injectRestores(restores)
	s.injectFaults(ctx)
	stopRestores()
	notices.Wait()
	s.endFaults()
	clock.Sleep(ctx, settleTime)
	s.startFinalPhase()
	clock.Sleep(ctx, finalPhase)
	s.checkRecovery()
	s.runLimitPhase(ctx)
	s.runCrashPhase(ctx)
	s.runCutPhase(ctx)
	stopClients()
	wait.Wait()
	s.late.Wait()
	return Result{Violations: s.violations, AnswerCounts: s.answerCounts, Events: s.events}, ctx.Err()
}

// upgradeVMs replaces the old program on one VM after the other, evenly spread over the time of
// the faults. VMs that are left when ctx ends are replaced at once.
func (s *Soak) upgradeVMs(ctx context.Context) {
	if s.options.OldBinary == "" {
		return
	}
	for _, v := range s.vms {
		clock.Sleep(ctx, s.options.Duration/time.Duration(len(s.vms)+1))
		s.recordEvent("%s is upgraded", v.name)
		v.upgrade()
	}
}

// newSoak returns a soak run that is not started.
func newSoak(o Options) *Soak {
	return &Soak{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 77)), log: platformtest.NewLog(), partition: platformtest.NewPartition(),
		runs: make(map[string]int), sent: make(map[string]platformtest.Request), answeredNotRun: make(map[string]int),
		withdrawn: make(map[string]time.Time), answerCounts: make(map[string]int), started: time.Now(),
	}
}

// start starts the shared log, the backend servers and the VMs, and waits until all VMs
// are ready.
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
		for i := range s.options.BackendsPerService {
			b := &backend{soak: s, service: service, zone: zones[i%len(zones)]}
			if err := b.start(fmt.Sprintf("%s-%d", service, i)); err != nil {
				return err
			}
			s.backends = append(s.backends, b)
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
			return errors.Errorf("not all VMs are ready %s after their start", startTimeout)
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

// callerKey returns a caller key of a workspace.
func callerKey(tenant, key int) string { return fmt.Sprintf("token-%d-%d", tenant, key) }

// putConfig writes a new version of the configuration, with the caller keys that are not
// withdrawn.
func (s *Soak) putConfig() {
	s.rewriting.Lock()
	defer s.rewriting.Unlock()
	s.writeConfig()
}

// writeConfig is putConfig for a caller that holds s.rewriting.
func (s *Soak) writeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	c := platformtest.Config{Version: s.configVersion, Services: []platformtest.Service{
		{Name: "read", Kind: "safe", TimeoutS: 2}, {Name: "pay", Kind: "unsafe", TimeoutS: 2}, {Name: "keyed", Kind: "unsafe", Sharded: true, TimeoutS: 2},
	}}
	for t := range tenantCount {
		var keys []string
		for k := range 2 {
			if _, withdrawn := s.withdrawn[callerKey(t, k)]; !withdrawn {
				keys = append(keys, callerKey(t, k))
			}
		}
		c.Tenants = append(c.Tenants, platformtest.Tenant{Name: fmt.Sprint("tenant-", t), Keys: keys, Rate: 2000, Burst: 2000})
	}
	s.log.PutConfig(c)
}

// runClient sends requests, one after the other, until ctx ends. It stays with one VM
// until a request does not succeed and then picks a random VM.
func (s *Soak) runClient(ctx context.Context, number int) {
	s.sendRequests(ctx, number, s.vms[number%len(s.vms)], true)
}

// sendRequests sends requests to a VM, one after the other, until ctx ends. If mayMove is set, it
// goes on with a random VM after a request that does not succeed. number tells clients apart.
func (s *Soak) sendRequests(ctx context.Context, number int, target *vm, mayMove bool) {
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(number)+1000))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	for n := 0; ctx.Err() == nil; n++ {
		r := platformtest.Request{
			ID: fmt.Sprintf("c%d-%d", number, n), Method: http.MethodPost, Service: services[random.IntN(len(services))],
			Path: requestPath(n), CallerKey: callerKey(random.IntN(tenantCount), random.IntN(2)), Key: random.IntN(65536), Deadline: requestDeadline,
		}
		s.mu.Lock()
		s.sent[r.ID] = r
		withdrawnAt, withdrawn := s.withdrawn[r.CallerKey]
		late := withdrawn && time.Since(withdrawnAt) > revokeWithin
		s.mu.Unlock()
		sentAt := time.Now()
		answer := platformtest.Send(client, target.address(), r)
		s.checkAnswer(r, answer, late, withdrawn)
		s.countFirstTry(target, answer, sentAt)
		s.checkPlannedStop(r, answer, target, sentAt)
		if answer.Status != http.StatusOK {
			client.CloseIdleConnections()
			if mayMove {
				target = s.vms[random.IntN(len(s.vms))]
			}
		}
		clock.Sleep(ctx, requestInterval)
	}
}

// checkAnswer counts an answer and checks it. withdrawn says that the caller key had been
// withdrawn when the request was sent, and late that this was more than revokeWithin
// before.
func (s *Soak) checkAnswer(r platformtest.Request, a platformtest.Answer, late, withdrawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerCounts[fmt.Sprint(r.Service, " ", a.Status)]++
	// The caller key may have been withdrawn while the request was in flight.
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
		s.addViolation("request %s got the answer of another request, or an unsigned one: request ID %q, backend server %q", r.ID, a.ID, a.Backend)
	case a.Status == http.StatusOK && s.runs[r.ID] == 0:
		s.addViolation("request %s succeeded but did not run", r.ID)
	case late && (a.Status == http.StatusOK || s.runs[r.ID] > 0):
		s.addViolation("request %s ran with caller key %s, which was withdrawn %s earlier", r.ID, r.CallerKey, time.Since(s.withdrawn[r.CallerKey]))
	case (a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound) && !withdrawn:
		s.addViolation("request %s got status %d although its caller key and route are valid", r.ID, a.Status)
	case a.NotRun():
		s.answeredNotRun[r.ID] = a.Status
		if s.runs[r.ID] > 0 && r.Service != "read" {
			s.addViolation("request %s got status %d, which means not run, but it has run", r.ID, a.Status)
		}
	}
}

// checkPlannedStop checks that a request which ran got an answer although its VM stopped as
// planned. A backend server that breaks off is no excuse: the VM answers then.
func (s *Soak) checkPlannedStop(r platformtest.Request, a platformtest.Answer, v *vm, sentAt time.Time) {
	if a.Err == nil || time.Since(sentAt) >= r.Deadline || !v.stops.mustAnswer(sentAt) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[r.ID] > 0 {
		s.addViolation("request %s ran and got no answer around the planned stop of %s: %v", r.ID, v.name, a.Err)
	}
}

// addViolation records a broken guarantee. The caller holds the lock.
func (s *Soak) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%6.2f s ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// recordRun checks and counts a run of a request. Backend servers call it when a request
// starts to run.
func (s *Soak) recordRun(b *backend, run platformtest.Run) {
	if run.Key >= 0 && b.service == "keyed" && b.currentBackend().HoldsByCheckedGrant(run.Key) {
		for _, other := range s.backends {
			if other != b && other.service == "keyed" && other.isAlive() && other.currentBackend().HoldsByCheckedGrant(run.Key) {
				s.mu.Lock()
				s.addViolation("a request for key %d runs at %s while %s also holds the key", run.Key, run.Backend, other.currentBackend().ID)
				s.mu.Unlock()
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run.Request]++
	if isCrashing(run.Path) {
		s.crashingRuns = append(s.crashingRuns, time.Now())
	}
	sentRequest, known := s.sent[run.Request]
	var tenant int
	if known {
		fmt.Sscanf(sentRequest.CallerKey, "token-%d-", &tenant) //nolint:errcheck // every caller key has that form
	}
	switch {
	case !known:
		s.addViolation("request %q (%s %s at %s) runs but no client sent it", run.Request, run.Method, run.Path, run.Backend)
	case sentRequest.Path != run.Path || sentRequest.Method != run.Method:
		s.addViolation("request %s runs with another method or path: %s %s", run.Request, run.Method, run.Path)
	case run.Tenant != fmt.Sprint("tenant-", tenant) || run.Authorization != "":
		s.addViolation("request %s runs for another workspace or with its caller key: workspace %q, authorization %q", run.Request, run.Tenant, run.Authorization)
	case sentRequest.Service != b.service:
		s.addViolation("request %s for service %s runs at service %s", run.Request, sentRequest.Service, b.service)
	case s.runs[run.Request] > 1 && sentRequest.Service != "read":
		s.addViolation("request %s of a service that is not idempotent runs %d times", run.Request, s.runs[run.Request])
	case s.answeredNotRun[run.Request] != 0 && sentRequest.Service != "read":
		s.addViolation("request %s runs after it was answered as not run, with status %d", run.Request, s.answeredNotRun[run.Request])
	}
}

// startFinalPhase starts counting requests and successes for checkRecovery.
func (s *Soak) startFinalPhase() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFinalPhase = true
}

// checkRecovery checks that enough requests succeeded in finalPhase.
func (s *Soak) checkRecovery() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFinalPhase = false
	if sent, succeeded := s.finalCounts[0], s.finalCounts[1]; sent == 0 || float64(succeeded) < minFinalSuccess*float64(sent) {
		s.addViolation("only %d of %d requests succeeded in the final phase, which began %s after the last fault", succeeded, sent, settleTime)
	}
}

// stop ends all processes and backend servers and the shared log.
func (s *Soak) stop() {
	for _, v := range s.vms {
		v.kill()
	}
	for _, b := range s.backends {
		b.stop()
	}
	if s.logServer != nil {
		s.logServer.Close() //nolint:errcheck // the run is over
	}
}

// recordEvent records the start of a fault, or another event of the run.
func (s *Soak) recordEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.2f s ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// openVMLog opens the log file of a VM for appending.
func (s *Soak) openVMLog(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.options.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
