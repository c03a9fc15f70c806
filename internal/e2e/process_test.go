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

// binary is the program under test.
var binary string

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

// process is one running program.
type process struct {
	command *exec.Cmd
	stderr  lockedBuffer
	// ready is the first line of its output, split at spaces.
	ready []string
}

// lockedBuffer collects the output of a process while a test reads it.
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

// String returns what was written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

const readyTimeout = 20 * time.Second

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
		_ = p.command.Process.Kill() // already ended in most tests
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
		t.Fatalf("%v is not ready: %q", args, p.ready)
	}
	return p
}

// address returns HOST:PORT of the first listener.
func (p *process) address() string { return strings.TrimPrefix(p.ready[1], "http://") }

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// deployment is a set of processes: the platform, backend servers and VMs.
type deployment struct {
	platform *process
	backends map[string]*process
	vms      map[string]*process
	traces   string
}

// trace returns the flags that make a process record its events, if wanted.
func (d *deployment) trace(name string) []string {
	if d.traces == "" {
		return nil
	}
	return []string{"-trace", filepath.Join(d.traces, name+".jsonl")}
}

// topology says what a deployment consists of.
type topology struct {
	// domains maps each failure domain to the names of its VMs.
	domains map[string][]string
	// perDomain is the number of backend servers of each service in each failure
	// domain.
	perDomain int
	runTime   time.Duration
	// traces is the directory for the traces of VMs and backend servers; empty for
	// none.
	traces string
}

const callerKey = "e2e-caller-key"

func deploy(t *testing.T, top topology) *deployment {
	t.Helper()
	d := &deployment{backends: make(map[string]*process), vms: make(map[string]*process), traces: top.traces}
	d.platform = start(t, "standin", "platform", "-listen", "127.0.0.1:0")
	set := d.startBackends(t, top)
	d.publish(t, set)
	for domain, names := range top.domains {
		for _, name := range names {
			d.startVM(t, name, domain)
		}
	}
	return d
}

func (d *deployment) startBackends(t *testing.T, top topology) []resource.Spec {
	t.Helper()
	keyed := &resource.ServiceSpec{Key: &resource.KeySource{PathSegment: 1}, ChecksGrants: keyedChecksGrants, Slices: 32}
	unkeyed := &resource.ServiceSpec{}
	for domain := range top.domains {
		for i := range top.perDomain {
			d.addBackend(t, keyed, "keyed", fmt.Sprintf("keyed-%s-%d", domain, i), domain, top.runTime)
			d.addBackend(t, unkeyed, "plain", fmt.Sprintf("plain-%s-%d", domain, i), domain, top.runTime)
		}
	}
	return []resource.Spec{keyed, unkeyed}
}

func (d *deployment) addBackend(t *testing.T, spec *resource.ServiceSpec, service, name, domain string, runTime time.Duration) {
	t.Helper()
	args := []string{"standin", "backend", "-listen", "127.0.0.1:0", "-service", service, "-server", name, "-failure-domain", domain,
		fmt.Sprintf("-keyed=%t", spec.Keyed()), fmt.Sprintf("-checks-grants=%t", spec.ChecksGrants), "-run-time", runTime.String()}
	p := start(t, append(args, d.trace(name)...)...)
	d.backends[name] = p
	spec.BackendServers = append(spec.BackendServers, resource.BackendServer{Name: name, Address: p.address(), FailureDomain: domain})
}

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

// normalize fills defaults as decoding does.
func normalize(t *testing.T, r resource.Resource) resource.Resource {
	t.Helper()
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var filled resource.Resource
	if err := json.Unmarshal(data, &filled); err != nil {
		t.Fatal(err)
	}
	return filled
}

func (d *deployment) startVM(t *testing.T, name, domain string) {
	t.Helper()
	peer := freeAddress(t)
	d.list(t, platform.VM{Name: name, FailureDomain: domain, PeerAddress: peer, State: platform.VMLive})
	args := []string{"serve", "-name", name, "-failure-domain", domain, "-platform", d.platform.address(),
		"-caller-listen", "127.0.0.1:0", "-peer-listen", peer, "-operator-listen", "127.0.0.1:0", "-leave-delay", "300ms"}
	d.vms[name] = start(t, append(args, d.trace(name)...)...)
}

// list puts a VM on the platform's list.
func (d *deployment) list(t *testing.T, vm platform.VM) {
	t.Helper()
	body, err := json.Marshal(vm)
	if err != nil {
		t.Fatal(err)
	}
	put(t, "http://"+d.platform.address()+"/vms/"+vm.Name, body)
}

func put(t *testing.T, url string, body []byte) {
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

// run runs the program to its end and returns its standard error and exit status.
func run(args ...string) (string, int) {
	command := exec.Command(binary, args...)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	_ = command.Run() // the exit status tells
	return stderr.String(), command.ProcessState.ExitCode()
}
