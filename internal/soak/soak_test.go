package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// binary builds the program once per test.
func binary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fireflyfield")
	if out, err := exec.Command("go", "build", "-o", path, "fireflyfield/cmd/fireflyfield").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// regressionSeeds are the seeds of runs in which a check once failed, with the cause.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "first seed; nothing failed"},
	{310, "grants that a proxy held back arrived after it healed; a caller key was withdrawn while its request was under way"},
}

// TestSoak guards against broken promises under faults from outside the processes.
func TestSoak(t *testing.T) {
	program := binary(t)
	for _, regression := range regressionSeeds {
		result, err := Run(context.Background(), Options{
			Binary: program, Dir: t.TempDir(), Seed: regression.seed, Duration: 8 * time.Second, VMs: 3, BackendsPerService: 2, Clients: 4,
		})
		if err != nil {
			t.Fatal(err)
		}
		if len(result.Violations) > 0 {
			t.Errorf("seed %d (%s): %v\nfaults: %v", regression.seed, regression.cause, result.Violations, result.Events)
		}
	}
}

// TestEnd guards against processes that a soak leaves behind: a restart may be under
// way when it ends.
func TestEnd(t *testing.T) {
	s := newSoak(Options{Binary: binary(t), Dir: t.TempDir(), VMs: 1, BackendsPerService: 1})
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
		t.Error("a process is left")
	}
}

// TestReload guards against a signal to reload the settings that ends the process.
func TestReload(t *testing.T) {
	s := newSoak(Options{Binary: binary(t), Dir: t.TempDir(), VMs: 1, BackendsPerService: 1})
	defer s.stop()
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	v := s.vms[0]
	v.signal(syscall.SIGHUP)
	select {
	case <-v.done:
		t.Fatal("the process ended")
	case <-time.After(time.Second):
	}
}
