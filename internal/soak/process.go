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
	soak         *Soak
	name         string
	settingsPath string
	readyAddress string
	// metricsPort is the port of the VM's metrics.
	metricsPort int
	callerProxy *Proxy
	logProxy    *Proxy

	// restarting is held while the process is ended and started again, so that a VM never
	// has two processes.
	restarting sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	killed  bool // no process may be started any more
}

const (
	// firstPort and portCount are the range of the VMs' portCount. It lies below the range from
	// which the kernel takes portCount: a VM that is down must find its portCount free again.
	firstPort, portCount = 15000, 16000
	// portsPerVM is the number of adjacent ports of one VM: callers, readiness, other VMs,
	// load reports, metrics.
	portsPerVM = 5
)

// findFreePorts returns the first of portsOfVM adjacent free ports.
func findFreePorts() (int, error) {
	for range 200 {
		first := firstPort + rand.IntN(portCount/portsPerVM)*portsPerVM
		if portsFree(first) {
			return first, nil
		}
	}
	return 0, errors.New("no adjacent ports are free")
}

func portsFree(first int) bool {
	for port := first; port < first+portsPerVM; port++ {
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
	first, err := findFreePorts()
	if err != nil {
		return nil, err
	}
	front := fmt.Sprintf("127.0.0.1:%d", first)
	v.readyAddress, v.metricsPort = fmt.Sprintf("127.0.0.1:%d", first+1), first+4
	if v.callerProxy, err = NewProxy(front); err != nil {
		return nil, err
	}
	if v.logProxy, err = NewProxy(s.logAddress); err != nil {
		return nil, err
	}
	v.settingsPath = filepath.Join(s.options.Dir, v.name+".conf")
	content := platformtest.Settings(v.name, zones[number%len(zones)], v.logProxy.Address(), front, v.readyAddress, first+2)
	if err := os.WriteFile(v.settingsPath, []byte(content), 0o600); err != nil {
		return nil, err
	}
	return v, v.start()
}

// address is where clients reach the VM.
func (v *vm) address() string { return v.callerProxy.Address() }

func (v *vm) start() error {
	out, err := v.soak.openVMLog(v.name)
	if err != nil {
		return err
	}
	process := exec.Command(v.soak.options.Binary, "route", "-settings", v.settingsPath, "-metrics-port", strconv.Itoa(v.metricsPort))
	process.Stdout, process.Stderr = out, out
	done := make(chan struct{})
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.killed {
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
	v.restarting.Lock()
	defer v.restarting.Unlock()
	v.signal(signal)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	<-done
	time.Sleep(wait)
	if err := v.start(); err != nil {
		v.soak.recordEvent("%s was not started: %v", v.name, err)
	}
}

// kill kills the process for good.
func (v *vm) kill() {
	v.mu.Lock()
	v.killed = true
	done := v.done
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	if done != nil {
		<-done
	}
	v.callerProxy.Close()
	v.logProxy.Close()
}

// backend is one backend server behind a proxy.
type backend struct {
	soak          *Soak
	service, zone string

	mu      sync.Mutex
	running *platformtest.RunningBackend
	proxy   *Proxy
	alive   bool
}

func (w *backend) start(id string) error {
	n := &platformtest.Backend{ID: id, Sharded: w.service == "keyed", Slots: 4, WorkTime: 10 * time.Millisecond}
	n.OnRun = func(run platformtest.Run) { w.soak.recordRun(w, run) }
	n.Exempt = func() bool {
		return time.Since(time.Unix(0, w.soak.resumedAt.Load())) < resumeGrace
	}
	var proxy *Proxy
	running, err := platformtest.StartProxiedBackend(w.soak.log, n, w.service, w.zone, func(address string) (string, error) {
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

func (w *backend) currentBackend() *platformtest.Backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running.Backend
}

func (w *backend) currentProxy() *Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.proxy
}

func (w *backend) isAlive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.alive
}

// crash ends the worker.
func (w *backend) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.alive {
		w.alive = false
		w.running.Crash()
		w.proxy.Close()
	}
}
