package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/freeport"
	"fireflyfield/platform/platformtest"
)

// vm is one VM that runs as a separate process. Its connections from callers and to the
// shared log pass through proxies.
type vm struct {
	soak         *Soak
	name         string
	settingsPath string
	// readyAddress is HOST:PORT of the readiness listener.
	readyAddress string
	// metricsPort is the port of the metrics listener.
	metricsPort int
	// sourceIP is the address from which the VM connects to backend servers.
	sourceIP    string
	callerProxy *Proxy
	logProxy    *Proxy
	// detourAddress is HOST:PORT for requests of other VMs.
	detourAddress string

	// restarting is held while the process is ended and started again, so that a VM
	// never has two processes.
	restarting sync.Mutex
	stops      stopLog
	// disrupted are the restarts and freezes of the process, and the cuts of its paths to the
	// backend servers.
	disrupted faultLog

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{} // closed when the process has ended
	killed  bool          // no process may be started any longer
	old     bool          // the next process runs the old program
}

// portsPerVM is the number of adjacent ports of one VM: for callers, readiness, other VMs,
// load reports, notices, requests of other VMs and metrics.
const portsPerVM = 7

// newVM starts the proxies and the process of a VM.
func newVM(s *Soak, number int) (*vm, error) {
	v := &vm{soak: s, name: fmt.Sprintf("vm-%d", number), old: s.options.OldBinary != "", sourceIP: fmt.Sprintf("127.0.%d.%d", 1+number/250, 1+number%250)}
	first, err := freeport.Adjacent(portsPerVM)
	if err != nil {
		return nil, err
	}
	front := fmt.Sprintf("127.0.0.1:%d", first)
	v.readyAddress, v.metricsPort = fmt.Sprintf("127.0.0.1:%d", first+1), first+6
	v.detourAddress = fmt.Sprintf("127.0.0.1:%d", first+5)
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

// address returns HOST:PORT at which clients reach the VM, through the proxy.
func (v *vm) address() string { return v.callerProxy.Address() }

// start starts the process, unless the VM was killed for good.
func (v *vm) start() error {
	out, err := v.soak.openVMLog(v.name)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	process := exec.Command(v.binary(), "route", "-settings", v.settingsPath, "-metrics-port", strconv.Itoa(v.metricsPort), "-source-ip", v.sourceIP)
	process.Stdout, process.Stderr = out, out
	done := make(chan struct{})
	if v.killed {
		return out.Close()
	}
	if err := process.Start(); err != nil {
		return errors.Wrap(err, v.name)
	}
	v.process, v.done = process, done
	go func() {
		process.Wait() //nolint:errcheck // the status says nothing, since most processes are killed
		out.Close()    //nolint:errcheck // only the process writes to the file
		close(done)
	}()
	return nil
}

// binary returns the executable of the next process. The caller holds the lock.
func (v *vm) binary() string {
	if v.old {
		return v.soak.options.OldBinary
	}
	return v.soak.options.Binary
}

// upgrade makes the VM run the new program, after a planned stop.
func (v *vm) upgrade() {
	v.mu.Lock()
	v.old = false
	v.mu.Unlock()
	v.restart(syscall.SIGTERM, 0)
}

// signal sends a signal to the process, if there is one.
func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		v.process.Process.Signal(signal) //nolint:errcheck // the process may have ended
	}
}

// restart ends the process with a signal and starts it again after a delay.
func (v *vm) restart(signal syscall.Signal, delay time.Duration) {
	v.restarting.Lock()
	defer v.restarting.Unlock()
	defer v.disrupted.begin()()
	ended := func() {}
	stoppedAt := time.Now()
	if signal == syscall.SIGTERM {
		ended = v.stops.stop()
		v.soak.sendLateRequests(v)
	} else {
		defer v.stops.faults.begin()()
	}
	v.signal(signal)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	<-done
	ended()
	if signal == syscall.SIGTERM {
		v.soak.checkStopTime(v, stoppedAt)
	}
	time.Sleep(delay)
	if err := v.start(); err != nil {
		v.soak.recordEvent("%s could not be restarted: %v", v.name, err)
	}
}

// kill kills the process for good, waits for its end and closes the proxies.
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
	v.callerProxy.Free()
	v.logProxy.Free()
}

// backend is one backend server behind a proxy. A replacement has another ID and proxy.
type backend struct {
	soak          *Soak
	service, zone string
	// disrupted are the times in which its connections are impaired.
	disrupted faultLog

	mu      sync.Mutex
	running *platformtest.RunningBackend
	proxy   *Proxy
	ended   []*Proxy // of earlier backend servers
	alive   bool
}

// start starts a backend server with the given ID and a proxy in front of it.
func (b *backend) start(id string) error {
	server := &platformtest.Backend{ID: id, Sharded: b.service == "keyed", Slots: 4, WorkTime: defaultWorkTime}
	server.OnRun = func(run platformtest.Run) { b.soak.recordRun(b, run) }
	server.OnGrant = func(g platformtest.AcceptedGrant) { b.soak.checkGrant(b, g) }
	server.CrashesOn = func(run platformtest.Run) bool { return isCrashing(run.Path) }
	server.OnCrash = func() {
		b.soak.recordCrash()
		b.crashIf(server)
		time.AfterFunc(crashReturn, func() { b.soak.startBackend(b, fmt.Sprintf("%s-after-crash%d", b.service, time.Now().UnixNano())) })
	}
	server.Exempt = func() bool {
		return time.Since(time.Unix(0, b.soak.resumedAt.Load())) < resumeGrace
	}
	var proxy *Proxy
	running, err := platformtest.StartProxiedBackend(b.soak.log, server, b.service, b.zone, func(address string) (string, error) {
		var err error
		if proxy, err = NewPartitionedProxy(address, b.soak.partition); err != nil {
			return "", err
		}
		return proxy.Address(), nil
	})
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.proxy != nil {
		b.ended = append(b.ended, b.proxy)
	}
	b.running, b.proxy, b.alive = running, proxy, true
	return nil
}

// defaultWorkTime is how long requests run at a backend server that is not slow.
const defaultWorkTime = 10 * time.Millisecond

// leave makes the backend server publish that it leaves.
func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running.Leave()
}

// restartProcess restarts the backend server under the same ID and address.
func (b *backend) restartProcess(entryAfter time.Duration, oldAgain bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running.Restart(entryAfter, oldAgain)
	b.proxy.Reset()
}

// currentBackend returns the stand-in that was started last.
func (b *backend) currentBackend() *platformtest.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running.Backend
}

// currentProxy returns the proxy of the stand-in that was started last.
func (b *backend) currentProxy() *Proxy {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.proxy
}

// isAlive reports whether the backend server was started and has not crashed since.
func (b *backend) isAlive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.alive
}

// crash ends the backend server and closes its proxy.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashLocked()
}

// stop ends the backend server for good and gives back the ports of this one and of those before.
func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashLocked()
	for _, p := range append(b.ended, b.proxy) {
		p.Free()
	}
	b.ended = nil
}

// crashLocked is crash with the lock held.
func (b *backend) crashLocked() {
	if b.alive {
		b.alive = false
		b.running.Crash()
		b.proxy.Close()
	}
}

// crashIf ends the backend server if it is still the given one and alive, and reports whether
// it was.
func (b *backend) crashIf(server *platformtest.Backend) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.alive || b.running.Backend != server {
		return false
	}
	b.crashLocked()
	return true
}
