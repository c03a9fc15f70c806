package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/platform/platformtest"
)

// vm is one VM as a separate process, behind proxies towards its callers and the log.
type vm struct {
	soak     *Soak
	name     string
	settings string
	ready    string
	// metricsPort is the port of the VM's metrics.
	metricsPort int
	front       *Proxy
	log         *Proxy

	// starting is held while the process is ended and started again, so that a VM never
	// has two processes.
	starting sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	ended   bool // no process may be started any more
}

const (
	// firstPort and ports are the range of the VMs' ports. It lies below the range from
	// which the kernel takes ports: a VM that is down must find its ports free again.
	firstPort, ports = 15000, 16000
	// portsOfVM is the number of adjacent ports of one VM: callers, readiness, other VMs,
	// load reports, metrics.
	portsOfVM = 5
)

// freePorts returns the first of portsOfVM adjacent free ports.
func freePorts() (int, error) {
	for range 200 {
		first := firstPort + rand.IntN(ports/portsOfVM)*portsOfVM
		if portsFree(first) {
			return first, nil
		}
	}
	return 0, errors.New("no adjacent ports are free")
}

func portsFree(first int) bool {
	for port := first; port < first+portsOfVM; port++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		l.Close() //nolint:errcheck // the port was only tried
	}
	return true
}

func newVM(s *Soak, number int) (*vm, error) {
	v := &vm{soak: s, name: fmt.Sprintf("vm-%d", number)}
	first, err := freePorts()
	if err != nil {
		return nil, err
	}
	front := fmt.Sprintf("127.0.0.1:%d", first)
	v.ready, v.metricsPort = fmt.Sprintf("127.0.0.1:%d", first+1), first+4
	if v.front, err = NewProxy(front); err != nil {
		return nil, err
	}
	if v.log, err = NewProxy(s.address); err != nil {
		return nil, err
	}
	v.settings = filepath.Join(s.o.Dir, v.name+".conf")
	content := platformtest.Settings(v.name, zones[number%len(zones)], v.log.Address(), front, v.ready, first+2)
	if err := os.WriteFile(v.settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	return v, v.run()
}

// address is where clients reach the VM.
func (v *vm) address() string { return v.front.Address() }

func (v *vm) run() error {
	out, err := v.soak.logFile(v.name)
	if err != nil {
		return err
	}
	process := exec.Command(v.soak.o.Binary, "route", "-settings", v.settings, "-metrics-port", strconv.Itoa(v.metricsPort))
	process.Stdout, process.Stderr = out, out
	done := make(chan struct{})
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return out.Close()
	}
	if err := process.Start(); err != nil {
		return errors.Wrap(err, v.name)
	}
	v.process, v.done = process, done
	go func() {
		process.Wait() //nolint:errcheck // most processes are killed
		out.Close()    //nolint:errcheck // the process wrote the file
		close(done)
	}()
	return nil
}

func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		v.process.Process.Signal(signal) //nolint:errcheck // the process may have ended
	}
}

// restart ends the process with a signal and starts it again.
func (v *vm) restart(signal syscall.Signal, wait time.Duration) {
	v.starting.Lock()
	defer v.starting.Unlock()
	v.signal(signal)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	<-done
	time.Sleep(wait)
	if err := v.run(); err != nil {
		v.soak.note("%s was not started: %v", v.name, err)
	}
}

// end kills the process for good.
func (v *vm) end() {
	v.mu.Lock()
	v.ended = true
	done := v.done
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	if done != nil {
		<-done
	}
	v.front.Close()
	v.log.Close()
}

// worker is one backend server behind a proxy.
type worker struct {
	soak          *Soak
	service, zone string

	mu      sync.Mutex
	running *platformtest.Running
	proxy   *Proxy
	alive   bool
}

func (w *worker) start(id string) error {
	n := &platformtest.Worker{ID: id, Sharded: w.service == "keyed", Slots: 4, Work: 10 * time.Millisecond}
	n.OnRun = func(run platformtest.Run) { w.soak.ran(w, run) }
	n.Exempt = func() bool {
		return time.Since(time.Unix(0, w.soak.thawed.Load())) < thawSlack
	}
	var proxy *Proxy
	running, err := platformtest.StartBehind(w.soak.store, n, w.service, w.zone, func(address string) (string, error) {
		var err error
		if proxy, err = NewProxy(address); err != nil {
			return "", err
		}
		return proxy.Address(), nil
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running, w.proxy, w.alive = running, proxy, true
	return nil
}

func (w *worker) current() *platformtest.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running.Worker
}

func (w *worker) link() *Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.proxy
}

func (w *worker) up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.alive
}

// crash ends the worker.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.alive {
		w.alive = false
		w.running.Crash()
		w.proxy.Close()
	}
}
