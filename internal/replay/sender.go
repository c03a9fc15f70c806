package replay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"fireflyfield/internal/dev"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
	"fireflyfield/internal/vm"
)

// idleConnections is the maximum number of idle connections kept open to each VM.
const idleConnections = 256

// maxBodyBytes is the maximum size of the body of a replayed request.
const maxBodyBytes = 1 << 20

// exampleKeyPrefix followed by the name of a workspace is its caller key in the
// examples. Other caller keys can't be replayed, since a trace contains only digests.
const exampleKeyPrefix = "example-key-"

// sender sends requests to the VMs in round-robin order, as the platform's load
// balancer does, and counts the answers.
type sender struct {
	cluster *dev.Cluster
	client  *http.Client
	// workspaces maps the digest of a caller key to its workspace.
	workspaces map[trace.Digest]string
	next       int
	running    sync.WaitGroup

	mu      sync.Mutex
	summary Summary
}

func newSender(cluster *dev.Cluster, resources resource.Set) *sender {
	return &sender{
		workspaces: workspacesOf(resources),
		cluster:    cluster,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}},
		summary:    Summary{Statuses: make(map[int]int)},
	}
}

// workspacesOf maps the digest of each caller key to its workspace.
func workspacesOf(resources resource.Set) map[trace.Digest]string {
	workspaces := make(map[trace.Digest]string)
	for _, r := range resources {
		if spec, ok := r.Spec.(*resource.CallerKeySpec); ok {
			workspaces[trace.Digest(strings.ToLower(spec.Digest))] = spec.Workspace
		}
	}
	return workspaces
}

// send starts one request and doesn't wait for its answer, so that a slow answer
// doesn't delay later requests. It must be called from one goroutine only. The delay
// late is the time since the request was due.
func (s *sender) send(ctx context.Context, request trace.Request, late time.Duration) {
	address := s.nextVM().CallerAddress()
	s.mu.Lock()
	s.summary.Sent++
	s.summary.Late = max(s.summary.Late, late)
	s.mu.Unlock()
	s.running.Go(func() { s.countStatus(s.exchange(ctx, address, request)) })
}

// nextVM returns the next VM that is ready, or simply the next one if none is.
func (s *sender) nextVM() *vm.VM {
	vms := s.cluster.VMs
	for range vms {
		s.next++
		if candidate := vms[s.next%len(vms)]; candidate.Ready() {
			return candidate
		}
	}
	return vms[s.next%len(vms)]
}

// exchange sends a request and returns the HTTP status of the answer, or zero if there
// was no complete answer.
func (s *sender) exchange(ctx context.Context, address string, request trace.Request) int {
	body := bytes.Repeat([]byte{'x'}, int(min(max(request.BodyBytes, 0), maxBodyBytes)))
	req, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+exampleKeyPrefix+s.workspaces[request.CallerKey])
	if request.IdempotencyKey != 0 {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%016x", uint64(request.IdempotencyKey)))
	}
	if !request.Idempotent {
		req.GetBody = nil // prevents the transport from sending the request again
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (s *sender) countStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.summary.Statuses[status]++
}

// wait waits until every request has an answer or has failed.
func (s *sender) wait() { s.running.Wait() }

// result closes the idle connections and returns the summary.
func (s *sender) result() Summary {
	s.client.CloseIdleConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.summary
}
