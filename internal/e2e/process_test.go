package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"fireflyfield/internal/config"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/resource"
)

// binary is the path of the program under test.
var binary string

// TestMain builds the program before the tests and removes it afterwards.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fireflyfield")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "fireflyfield")
	if out, err := exec.Command("go", "build", "-o", binary, "fireflyfield/cmd/fireflyfield").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running process of the program under test.
type process struct {
	command *exec.Cmd
	stderr  lockedBuffer
	// ready holds the fields of the ready line, the first line of its standard output.
	ready []string
}

// lockedBuffer is a buffer that a process can write to while a test reads it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns everything written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

const readyTimeout = 20 * time.Second

// start starts the program with the arguments and waits for its ready line. The process
// is killed at the end of the test; if the test failed, its standard error is logged.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(binary, args...)}
	p.command.Stderr = &p.stderr
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // fails if the process has ended already
		_ = p.command.Wait()
		if t.Failed() {
			t.Logf("%v\n%s", args, p.stderr.String())
		}
	})
	lines := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(stdout).ReadString('\n')
		lines <- line
	}()
	select {
	case line := <-lines:
		p.ready = strings.Fields(line)
	case <-time.After(readyTimeout):
	}
	if len(p.ready) < 2 || p.ready[0] != "ready" {
		t.Fatalf("process %v has not printed its ready line: %q", args, p.ready)
	}
	return p
}

// address returns HOST:PORT of the listener that the ready line names first.
func (p *process) address() string { return strings.TrimPrefix(p.ready[1], "http://") }

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// deployment is a set of processes: the platform, backend servers and VMs, the latter two
// by name.
type deployment struct {
	platform *process
	backends map[string]*process
	vms      map[string]*process
	// traces is the directory for traces; empty for none.
	traces string
}

// traceFlags returns the flags that make the named process write a trace, or none.
func (d *deployment) traceFlags(name string) []string {
	if d.traces == "" {
		return nil
	}
	return []string{"-trace", filepath.Join(d.traces, name+".jsonl")}
}

// topology describes the processes of a deployment.
type topology struct {
	// domains maps each failure domain to the names of its VMs.
	domains map[string][]string
	// perDomain is the number of backend servers of each service in each failure
	// domain.
	perDomain int
	// runTime is the time for which a request runs at a backend server.
	runTime time.Duration
	// traces is the directory for the traces of VMs and backend servers; empty for
	// none.
	traces string
}

// callerKey is the caller key of the workspace w1, the only one of a deployment.
const callerKey = "e2e-caller-key"

// deploy starts all processes of the topology and publishes its configuration.
func deploy(t *testing.T, topo topology) *deployment {
	t.Helper()
	d := &deployment{backends: make(map[string]*process), vms: make(map[string]*process), traces: topo.traces}
	d.platform = start(t, "standin", "platform", "-listen", "127.0.0.1:0")
	set := d.startBackends(t, topo)
	d.publish(t, set)
	for domain, names := range topo.domains {
		for _, name := range names {
			d.startVM(t, name, domain)
		}
	}
	return d
}

// startBackends starts the backend servers of the services keyed and plain and returns
// the specs of these services, in this order.
func (d *deployment) startBackends(t *testing.T, topo topology) []resource.Spec {
	t.Helper()
	keyed := &resource.ServiceSpec{Key: &resource.KeySource{PathSegment: 1}, ChecksGrants: keyedChecksGrants, Slices: 32}
	plain := &resource.ServiceSpec{}
	for domain := range topo.domains {
		for i := range topo.perDomain {
			d.addBackend(t, keyed, "keyed", fmt.Sprintf("keyed-%s-%d", domain, i), domain, topo.runTime)
			d.addBackend(t, plain, "plain", fmt.Sprintf("plain-%s-%d", domain, i), domain, topo.runTime)
		}
	}
	return []resource.Spec{keyed, plain}
}

// addBackend starts a backend server and adds it to the spec of its service.
func (d *deployment) addBackend(t *testing.T, spec *resource.ServiceSpec, service, name, domain string, runTime time.Duration) {
	t.Helper()
	args := []string{"standin", "backend", "-listen", "127.0.0.1:0", "-service", service, "-server", name, "-failure-domain", domain,
		fmt.Sprintf("-keyed=%t", spec.Keyed()), fmt.Sprintf("-checks-grants=%t", spec.ChecksGrants), "-run-time", runTime.String()}
	p := start(t, append(args, d.traceFlags(name)...)...)
	d.backends[name] = p
	spec.BackendServers = append(spec.BackendServers, resource.BackendServer{Name: name, Address: p.address(), FailureDomain: domain})
}

// publish appends the configuration to the shared log: the failure domains, the services
// keyed and plain, and a workspace with a caller key and a rate.
func (d *deployment) publish(t *testing.T, specs []resource.Spec) {
	t.Helper()
	var resources []resource.Resource
	add := func(name string, spec resource.Spec) {
		resources = append(resources, resource.Resource{APIVersion: resource.APIVersion, Metadata: resource.Metadata{Name: name}, Spec: spec})
	}
	domains := make(map[string]bool)
	for _, server := range specs[0].(*resource.ServiceSpec).BackendServers {
		if !domains[server.FailureDomain] {
			add(server.FailureDomain, &resource.FailureDomainSpec{})
		}
		domains[server.FailureDomain] = true
	}
	add("keyed", specs[0])
	add("plain", specs[1])
	add("w1", &resource.WorkspaceSpec{OnStaleKeys: resource.StaleKeysServe})
	add("w1-1", &resource.CallerKeySpec{Workspace: "w1", Digest: digest(callerKey)})
	add("w1", &resource.RateSpec{Workspace: "w1", RequestsPerSecond: 5000, Burst: 5000})
	var changes []config.Change
	for _, r := range resources {
		change, err := config.Put(normalize(t, r), 0)
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, change)
	}
	data, err := config.Encode(config.NewRecord(uuid.New(), 0, changes...))
	if err != nil {
		t.Fatal(err)
	}
	client := platform.NewClient(d.platform.address())
	defer client.Close()
	if _, err := client.Append(t.Context(), config.Stream, data); err != nil {
		t.Fatal(err)
	}
}

// normalize encodes and decodes the resource, which sets defaults.
func normalize(t *testing.T, r resource.Resource) resource.Resource {
	t.Helper()
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var normalized resource.Resource
	if err := json.Unmarshal(data, &normalized); err != nil {
		t.Fatal(err)
	}
	return normalized
}

// startVM puts a VM on the platform's list and starts it.
func (d *deployment) startVM(t *testing.T, name, domain string) {
	t.Helper()
	peer := freeAddress(t)
	d.listVM(t, platform.VM{Name: name, FailureDomain: domain, PeerAddress: peer, State: platform.VMLive})
	args := []string{"serve", "-name", name, "-failure-domain", domain, "-platform", d.platform.address(),
		"-caller-listen", "127.0.0.1:0", "-peer-listen", peer, "-operator-listen", "127.0.0.1:0", "-leave-delay", "300ms"}
	d.vms[name] = start(t, append(args, d.traceFlags(name)...)...)
}

// listVM adds the VM to the platform's list.
func (d *deployment) listVM(t *testing.T, vm platform.VM) {
	t.Helper()
	body, err := json.Marshal(vm)
	if err != nil {
		t.Fatal(err)
	}
	putJSON(t, "http://"+d.platform.address()+"/vms/"+vm.Name, body)
}

// putJSON sends a PUT request with the body and expects status 204.
func putJSON(t *testing.T, url string, body []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("PUT %s: %s", url, resp.Status)
	}
}

// runToExit runs the program until it exits and returns its standard error and exit
// status.
func runToExit(args ...string) (string, int) {
	command := exec.Command(binary, args...)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	_ = command.Run() // the exit status shows the error
	return stderr.String(), command.ProcessState.ExitCode()
}
