package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/platform/platformtest"
)

// buildBinary builds the executable in a directory of the test and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fireflyfield")
	if out, err := exec.Command("go", "build", "-o", path, "fireflyfield/cmd/fireflyfield").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return path
}

// regressionSeeds are the seeds of runs in which a check failed, with the cause, and one
// seed for comparison.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "no failure; for comparison"},
	{310, "grants that a proxy had held back arrived after it forwarded bytes again; a caller key was withdrawn while a request with it was in flight; a stopping VM waited for a request of another VM and ended in the middle of a later one of a caller"},
}

// TestSoak guards against broken guarantees towards callers and backend servers while
// processes, connections and the shared log fail.
func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	for _, regression := range regressionSeeds {
		result, err := Run(context.Background(), Options{
			Binary: binary, Dir: t.TempDir(), Seed: regression.seed, Duration: 8 * time.Second, VMs: 3, BackendsPerService: 2, Clients: 4,
		})
		if err != nil {
			t.Fatal(err)
		}
		if len(result.Violations) > 0 {
			t.Errorf("seed %d (%s): %v\nfaults: %v", regression.seed, regression.cause, result.Violations, result.Events)
		}
	}
}

// TestStopDuringRestart guards against a process that outlives the soak run because its VM
// was being restarted when the run stopped.
func TestStopDuringRestart(t *testing.T) {
	s := newSoak(Options{Binary: buildBinary(t), Dir: t.TempDir(), VMs: 1, BackendsPerService: 1})
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	v := s.vms[0]
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		v.restart(syscall.SIGKILL, 200*time.Millisecond)
	}()
	time.Sleep(100 * time.Millisecond)
	s.stop()
	<-restarted
	if err := v.process.Process.Signal(syscall.Signal(0)); err == nil {
		t.Error("a VM process is still running after the soak run stopped")
	}
}

// TestReloadKeepsProcess guards against SIGHUP, the signal to reload the settings, ending
// the process.
func TestReloadKeepsProcess(t *testing.T) {
	s := newSoak(Options{Binary: buildBinary(t), Dir: t.TempDir(), VMs: 1, BackendsPerService: 1})
	defer s.stop()
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	v := s.vms[0]
	v.signal(syscall.SIGHUP)
	select {
	case <-v.done:
		t.Fatal("the process ended after SIGHUP")
	case <-time.After(time.Second):
	}
}

// TestReloadDuringStop guards against SIGHUP ending a process that stops: requests in flight would
// get no answer.
func TestReloadDuringStop(t *testing.T) {
	s := newSoak(Options{Binary: buildBinary(t), Dir: t.TempDir(), VMs: 1, BackendsPerService: 1})
	defer s.stop()
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	v := s.vms[0]
	for _, b := range s.backends {
		b.currentBackend().SetWorkTime(time.Second)
	}
	r := platformtest.Request{ID: "r", Method: http.MethodPost, Service: "pay", Path: "/", CallerKey: callerKey(0, 0), Deadline: 5 * time.Second}
	answer := make(chan platformtest.Answer, 1)
	go func() { answer <- platformtest.Send(http.DefaultClient, v.address(), r) }()
	time.Sleep(300 * time.Millisecond)
	v.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	v.signal(syscall.SIGHUP)
	if a := <-answer; a.Err != nil || a.Status != http.StatusOK {
		t.Errorf("status %d, error %v", a.Status, a.Err)
	}
}

// TestSecondStopSignal guards against a second SIGTERM that ends a process which stops: requests in
// flight would get no answer.
func TestSecondStopSignal(t *testing.T) {
	s := newSoak(Options{Binary: buildBinary(t), Dir: t.TempDir(), VMs: 1, BackendsPerService: 1})
	defer s.stop()
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	v := s.vms[0]
	r := platformtest.Request{ID: "r", Method: http.MethodPost, Service: "pay", Path: "/", CallerKey: callerKey(0, 0), Deadline: 5 * time.Second, Work: 1500 * time.Millisecond}
	answer := make(chan platformtest.Answer, 1)
	go func() { answer <- platformtest.Send(http.DefaultClient, v.address(), r) }()
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		v.signal(syscall.SIGTERM)
	}
	if a := <-answer; a.Err != nil || a.Status != http.StatusOK {
		t.Errorf("status %d, error %v", a.Status, a.Err)
	}
}

// TestReloadBeforeStop guards against a stop that takes the grace period of old settings, since
// SIGTERM follows SIGHUP at once: the platform would kill the process.
func TestReloadBeforeStop(t *testing.T) {
	s := newSoak(Options{Binary: buildBinary(t), Dir: t.TempDir(), VMs: 6, BackendsPerService: 1})
	defer s.stop()
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	for _, v := range s.vms {
		c, err := net.Dial("tcp4", v.address()) // keeps the process until the end of the grace period
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		content, err := os.ReadFile(v.settingsPath)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(v.settingsPath, []byte(strings.Replace(string(content), "graceS=6", "graceS=2", 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		v.signal(syscall.SIGHUP)
		v.signal(syscall.SIGTERM)
	}
	limit := time.After(4 * time.Second)
	for _, v := range s.vms {
		select {
		case <-v.done:
		case <-limit:
			t.Fatalf("%s still runs 4 s after its stop began, with a grace period of 2 s", v.name)
		}
	}
}

// TestPlannedStopCheck guards against a check of planned stops that finds nothing, or that
// reports requests which a fault of the VM excuses.
func TestPlannedStopCheck(t *testing.T) {
	s := newSoak(Options{})
	v := &vm{soak: s, name: "vm"}
	r := platformtest.Request{ID: "r", Deadline: time.Second}
	lost := platformtest.Answer{Err: io.EOF}
	violations := func(sentAt time.Time) int {
		s.violations = nil
		s.checkPlannedStop(r, lost, v, sentAt)
		return len(s.violations)
	}
	is := is.New(t)
	s.runs["r"] = 1
	is.Equal(violations(time.Now()), 0) // no stop
	stopped := v.stops.stop()
	is.Equal(violations(time.Now()), 1)
	is.Equal(violations(time.Now().Add(-time.Minute)), 0) // its deadline has passed
	sentAt := time.Now()
	ended := v.stops.faults.begin()
	is.Equal(violations(time.Now()), 0)
	ended()
	is.Equal(violations(sentAt), 0)
	is.Equal(violations(time.Now()), 1)
	stopped()
	is.Equal(violations(time.Now()), 0)
	s.runs["r"] = 0
	is.Equal(violations(sentAt), 0)
}

// TestCrashAndCutChecks guards against checks of crashing requests and of lost paths that find
// nothing, or that count what the bounds allow.
func TestCrashAndCutChecks(t *testing.T) {
	is := is.New(t)
	s := newSoak(Options{})
	now := time.Now()
	s.crashes = []time.Time{now, now, now}
	s.crashingRuns = []time.Time{now, now.Add(stableWindow), now.Add(stableWindow + time.Millisecond)}
	is.Equal(s.lateCrashingRuns(), 1)
	s.crashes = s.crashes[:2]
	is.Equal(s.lateCrashingRuns(), 0)
	a, b := &vm{name: "a"}, &vm{name: "b"}
	ok, rejected := platformtest.Answer{Status: http.StatusOK}, platformtest.Answer{Status: http.StatusServiceUnavailable}
	s.countFirstTry(a, ok, now) // not counting yet
	s.startFirstTries()
	s.countFirstTry(a, ok, now) // sent before
	s.countFirstTry(a, rejected, time.Now())
	s.countFirstTry(b, ok, time.Now())
	counts := s.takeFirstTries()
	is.Equal(sum(counts, func(v *vm) bool { return v == a }), tries{sent: 1})
	is.Equal(sum(counts, func(*vm) bool { return true }), tries{sent: 2, served: 1})
}

// TestLimitCheck guards against a check of limits that finds nothing, or that counts requests
// which the rule does not: of VMs that were not told, told lately, or restarted, and early ones.
func TestLimitCheck(t *testing.T) {
	is := is.New(t)
	named := time.Now()
	arrival := func(source string, after, took time.Duration) platformtest.Arrival {
		a := platformtest.Arrival{Source: source, At: named.Add(after)}
		if took > 0 {
			a.AnsweredAt = a.At.Add(took)
		}
		return a
	}
	arrivals := []platformtest.Arrival{
		arrival("told", 0, time.Millisecond),
		arrival("restarted", 0, time.Millisecond),
		arrival("told", stableWindow, time.Millisecond), // 1 ms early
		arrival("told", stableWindow+time.Millisecond, 0),
		arrival("restarted", 5*time.Second, time.Millisecond),
		arrival("late", 5*time.Second, time.Millisecond),
		arrival("late", 5*time.Second+limitNoticeTime, 0), // 1 ms early
		arrival("late", 5*time.Second+limitNoticeTime+time.Millisecond, 0),
		arrival("no answer", 5*time.Second, 0),
		arrival("no answer", 6*time.Second, 0),
		arrival("told", 7*time.Second, 0),
	}
	counted := countedArrivals(arrivals, map[string]bool{"restarted": true})
	is.Equal(len(counted), 3)
	is.Equal(platformtest.MostInWindow(counted, limitWindow), 3)
	is.Equal(platformtest.MostInWindow(counted, 3*time.Second), 2)
	var v vm
	is.True(!v.disrupted.since(named))
	ended := v.disrupted.begin()
	is.True(v.disrupted.since(time.Now()))
	ended()
	is.True(v.disrupted.since(named))
	is.True(!v.disrupted.since(time.Now()))
}

// TestArrivalsBySource guards against arrivals that count for no VM, since a proxy hides their
// address.
func TestArrivalsBySource(t *testing.T) {
	is := is.New(t)
	s := newSoak(Options{})
	b := &backend{soak: s, service: "read", zone: zones[0]}
	is.NoErr(b.start("read-0"))
	defer b.stop()
	b.currentBackend().SetLimit(4)
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.1.9")}}).DialContext}}
	response, err := client.Get("http://" + b.currentProxy().Address() + "/x")
	is.NoErr(err)
	response.Body.Close()
	arrivals := b.currentBackend().Arrivals()
	is.Equal(len(arrivals), 1)
	is.Equal(arrivals[0].Source, "127.0.1.9")
	is.True(!arrivals[0].AnsweredAt.IsZero())
}

// TestEndedServerKeepsPort guards against another process that is given the port of a backend server
// which has ended: its answers count as those of the backend server, and break checks.
func TestEndedServerKeepsPort(t *testing.T) {
	is := is.New(t)
	b := &backend{soak: newSoak(Options{}), service: "read", zone: zones[0]}
	is.NoErr(b.start("read-0"))
	address := b.currentProxy().Address()
	b.crash()
	_, err := net.Dial("tcp4", address)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	_, err = net.Listen("tcp4", address)
	is.True(errors.Is(err, syscall.EADDRINUSE))
	b.stop()
	listener, err := net.Listen("tcp4", address)
	is.NoErr(err)
	is.NoErr(listener.Close())
}

// TestStopTimeCheck guards against a check of the time of planned stops that finds nothing, or that
// reports stops which a fault of the VM delayed.
func TestStopTimeCheck(t *testing.T) {
	is := is.New(t)
	s := newSoak(Options{})
	v := &vm{soak: s, name: "vm"}
	s.checkStopTime(v, time.Now().Add(-gracePeriod))
	is.Equal(len(s.violations), 0)
	stoppedAt := time.Now().Add(-gracePeriod - 2*stopSlack)
	s.checkStopTime(v, stoppedAt)
	is.Equal(len(s.violations), 1)
	v.stops.faults.begin()()
	s.checkStopTime(v, stoppedAt)
	is.Equal(len(s.violations), 1)
}
