// Command standin runs the cases of the review: it starts VMs as separate processes, with stand-ins
// of the platform's log, of backend servers and of clients on loopback addresses, and judges one
// rule by what the clients and the backend servers saw.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fireflyfield/platform/platformtest"
)

const (
	heartbeat    = 1500 * time.Millisecond // heartbeatS of the settings
	expiry       = 3 * heartbeat           // an entry is removed after three intervals of silence
	startTimeout = 25 * time.Second
	callerKey    = "review-key-1"
	tenant       = "review-tenant"
)

// run is one run of a request at a worker.
type run struct {
	at              time.Time
	request, worker string
	source          string // IP address of the VM
	sentAt          time.Time
}

// world is one small deployment.
type world struct {
	dir       string
	record    *record
	log       *platformtest.Log
	logServer *http.Server
	logAddr   string
	partition *platformtest.Partition
	workers   []*worker
	vms       []*vm
	ports     portSet
	network   int // second byte of the addresses of the VMs

	mu     sync.Mutex
	runs   []run
	sentAt map[string]time.Time // by request ID
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// portSet are the ports that are the same on all VMs.
type portSet struct{ front, ready, internal int }

// newWorld starts the log with a configuration.
func newWorld(dir string, out io.Writer, config []byte) (*world, error) {
	w := &world{
		dir: dir, record: &record{out: out, start: time.Now()}, log: platformtest.NewLog(), partition: platformtest.NewPartition(),
		sentAt: make(map[string]time.Time), network: 1 + rand.IntN(250),
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.logAddr = listener.Addr().String()
	w.logServer = &http.Server{Handler: w.log, ReadHeaderTimeout: time.Minute}
	go w.logServer.Serve(listener) //nolint:errcheck // it ends with Close
	w.log.Put(wire.Topics.Operator, wire.ConfigKey, config)
	w.ports, err = freePorts()
	return w, err
}

// freePorts returns ports that are free on all addresses.
func freePorts() (portSet, error) {
	for range 400 {
		first := 16000 + rand.IntN(14000)
		free := true
		for port := first; port < first+20 && free; port++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", port))
			if err != nil {
				free = false
				break
			}
			l.Close() //nolint:errcheck // the listener only probes the port
		}
		if free {
			return portSet{first, first + 1, first + 4}, nil
		}
	}
	return portSet{}, errors.New("no free ports")
}

// worker is one worker. It publishes its entry while it reaches the log.
type worker struct {
	*platformtest.Backend
	world   *world
	service string
	zone    string
	address string
	server  *http.Server
	stop    chan struct{}

	mu       sync.Mutex
	lastBeat time.Time
	removed  bool
	beats    int
	born     int64
	warmAt   time.Time
	// serve, if not nil, answers requests instead of the Backend.
	serve func(rw http.ResponseWriter, r *http.Request)
}

// startWorker starts a worker. work returns how long a request runs.
func (w *world) startWorker(id, service, zone string, slots int) error {
	b := &platformtest.Backend{ID: id, Slots: slots, Partition: w.partition}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &worker{Backend: b, world: w, service: service, zone: zone, address: listener.Addr().String(), stop: make(chan struct{}), born: time.Now().UnixMilli()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go s.server.Serve(w.partition.Listen(listener)) //nolint:errcheck // it ends with Close
	go s.publishEntries()
	w.workers = append(w.workers, s)
	return nil
}

// ServeHTTP notes where a request comes from, and runs it.
func (s *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if s.serve != nil {
		switch {
		case healthy(rw, r, s.ID):
		case r.Header.Get(wire.Headers.Instance) != s.ID:
			rw.Header().Set(wire.Headers.NotExecuted, "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
		default:
			s.serve(rw, r)
		}
		return
	}
	id := r.Header.Get(wire.Headers.RequestID)
	expected := r.Header.Get(wire.Headers.Instance)
	if id != "" && r.URL.Path != platformtest.HealthPath && (expected == "" || expected == s.ID) {
		source, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.world.noteRun(run{at: time.Now(), request: id, worker: s.ID, source: source})
	}
	s.Backend.ServeHTTP(rw, r)
}

// healthy answers a health check.
func healthy(rw http.ResponseWriter, r *http.Request, id string) bool {
	if r.URL.Path != platformtest.HealthPath {
		return false
	}
	rw.Header().Set(wire.Headers.InstanceID, id)
	return true
}

func (w *world) noteRun(r run) {
	w.mu.Lock()
	r.sentAt = w.sentAt[r.request]
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	w.record.printf("run      %s at %s from %s", r.request, r.worker, r.source)
}

// publishEntries publishes the entry until stop is closed. The log removes the entry after three
// intervals of silence.
func (s *worker) publishEntries() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	expiryTicker := time.NewTicker(50 * time.Millisecond)
	defer expiryTicker.Stop()
	s.publish()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.publish()
		case <-expiryTicker.C:
			s.expire()
		}
	}
}

func (s *worker) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	s.lastBeat, s.removed = time.Now(), false
	content, err := json.Marshal(platformtest.Entry{
		Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", Slots: s.Slots, State: "ready", Sequence: s.beats, Born: s.born,
		ColdRemainingS: max(0, time.Until(s.warmAt).Seconds()),
	})
	if err != nil {
		panic(err) // the type has no field that cannot be encoded
	}
	s.world.log.Put(wire.Topics.Catalogue, s.ID, content)
}

func (s *worker) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed || time.Since(s.lastBeat) < expiry {
		return
	}
	s.removed = true
	s.world.log.Put(wire.Topics.Catalogue, s.ID, nil)
	s.world.record.printf("store    the entry of %s is removed after three intervals of silence", s.ID)
}

// startAgain publishes the entry of a new process, which is cold for a time.
func (s *worker) startAgain(cold time.Duration) {
	s.mu.Lock()
	s.born, s.beats, s.warmAt = time.Now().UnixMilli(), 0, time.Now().Add(cold)
	s.mu.Unlock()
	s.publish()
}

// vm is one VM that runs as a process.
type vm struct {
	world *world
	name  string
	ip    string
	zone  string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
}

// startVM starts a VM with an address of its own.
func (w *world) startVM(number int, zone string) error {
	v := &vm{world: w, name: fmt.Sprintf("front-%s-%d", zone, number), ip: fmt.Sprintf("127.%d.1.%d", w.network, number), zone: zone}
	if err := os.WriteFile(v.settings(), []byte(v.settingsText()), 0o600); err != nil {
		return err
	}
	w.vms = append(w.vms, v)
	return v.start()
}

func (v *vm) settings() string { return filepath.Join(v.world.dir, v.name+".conf") }

func (v *vm) settingsText() string {
	p := v.world.ports
	return fmt.Sprintf(`nodeName=%[1]s
role=router
machineClass=front
serves=front
ip=%[2]s
zone=%[3]s
region=serra-sul
zones.vacaria=serra-sul
zones.lages=serra-sul
zones.bom-jesus=serra-sul
listen.front=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
internalPorts=%[6]d,%[7]d
bootstrap=true
limits.cpuShare=0.32
limits.cpuCores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatS=1.5
contracts=base,drain,config,cost,retry,recover,own,places,tenants,quota,platform
faultTolerance.machines=1
faultTolerance.zones=1
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableWindowS=3
bounds.ackS=4
bounds.catchUpS=4
bounds.drainS=2
bounds.graceS=6
bounds.lossSlackS=0.2
bounds.configApplyS=2
bounds.rollbackSlackS=0.25
bounds.maxSkewS=5
bounds.revokeFailClosed=true
bounds.revokeS=5
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetSlack=62
bounds.quotaWindowS=5
bounds.quotaOverage=0.1
bounds.quotaSlack=20
bounds.coldOverage=1.5
bounds.coldSlack=5
bounds.evacuationS=5
bounds.recoveryS=15
bounds.holdMaxS=10
bounds.thawSlackS=0.3
grants=call
platform.address=%[8]s
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.parts=12
platform.appendS=0.002
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.ttlMinS=1
`, v.name, v.ip, v.zone, p.front, p.ready, p.internal, p.internal+15, v.world.logAddr)
}

// start starts the process with the command of the deploy file. The source address is that of the
// VM, as on a machine of its own.
func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.world.dir, v.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command("target/fireflyfield", "route", "-source-ip", v.ip)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIREFLYFIELD_CONFIG=" + v.settings()}
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.process, v.done = process, done
	v.mu.Unlock()
	v.world.record.printf("process  %s starts, pid %d", v.name, process.Process.Pid)
	go func() {
		process.Wait() //nolint:errcheck // the status says nothing, since most processes are killed
		out.Close()    //nolint:errcheck // only the process writes to the file
		close(done)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	process, done := v.process, v.done
	v.mu.Unlock()
	if process == nil {
		return
	}
	process.Process.Kill() //nolint:errcheck // the process may have ended
	<-done
	v.world.record.printf("process  %s was killed", v.name)
}

func (v *vm) front() string { return fmt.Sprintf("%s:%d", v.ip, v.world.ports.front) }

// waitReady waits until all VMs say that they are ready.
func (w *world) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, v := range w.vms {
		for !platformtest.Ready(fmt.Sprintf("%s:%d", v.ip, w.ports.ready)) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.printf("all VMs are ready")
	return nil
}

// end ends all processes and servers.
func (w *world) end() {
	for _, v := range w.vms {
		v.kill()
	}
	for _, s := range w.workers {
		close(s.stop)
		s.server.Close() //nolint:errcheck // the process ends next
	}
	w.logServer.Close() //nolint:errcheck // the process ends next
}

// answer is what a client got.
type answer struct {
	status int
	worker string // that signed the answer
	err    error
}

// client sends requests to one VM and keeps its connections.
type client struct {
	world *world
	vm    *vm
	http  *http.Client
	n     int
	name  string
	mu    sync.Mutex
}

func (w *world) newClient(name string, v *vm) *client {
	return &client{world: w, vm: v, name: name, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request and returns its ID and answer. work is how long it runs, in addition to
// the usual time of a worker.
func (c *client) send(host string, deadline, work time.Duration) (string, answer) {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%s-%05d", c.name, c.n)
	c.mu.Unlock()
	request, err := http.NewRequest(http.MethodGet, "http://"+c.vm.front()+"/lookup/"+id, nil)
	if err != nil {
		return id, answer{err: err}
	}
	request.Host = host
	request.Header.Set(wire.Headers.RequestID, id)
	request.Header.Set(wire.Headers.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+callerKey)
	request.Header.Set("X-Work-Ms", strconv.FormatInt(work.Milliseconds(), 10))
	now := time.Now()
	c.world.mu.Lock()
	c.world.sentAt[id] = now
	c.world.mu.Unlock()
	c.world.record.printf("sent     %s to %s", id, c.vm.name)
	a := c.receive(request, deadline)
	c.world.record.printf("answered %s status %d signed by %q after %d ms%s", id, a.status, a.worker, time.Since(now).Milliseconds(), errorText(a.err))
	return id, a
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

func (c *client) receive(request *http.Request, deadline time.Duration) answer {
	timer := &http.Client{Transport: c.http.Transport, Timeout: deadline + time.Second}
	response, err := timer.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return answer{err: err}
	}
	return answer{
		status: response.StatusCode,
		worker: strings.TrimPrefix(response.Header.Get(wire.Headers.Signature), "sig-"),
	}
}
