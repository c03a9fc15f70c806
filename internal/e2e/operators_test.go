package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/operator/client"
	"fireflyfield/internal/resource"
)

// operatorClient returns a client of the operator interface of the named VMs.
func (d *deployment) operatorClient(t *testing.T, names ...string) *client.Client {
	t.Helper()
	var addresses []string
	for _, name := range names {
		addresses = append(addresses, d.vms[name].readyField("operator"))
	}
	made, err := client.New(addresses, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// setRate changes the rate of the workspace, in requests/s, and returns the new revision.
func setRate(t *testing.T, vms *client.Client, requests int) uint64 {
	t.Helper()
	id := resource.ID{Kind: resource.KindRate, Name: "w1"}
	list, err := vms.Get(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	changed := list.Items[0]
	base := changed.Metadata.Revision
	changed.Spec = &resource.RateSpec{Workspace: "w1", RequestsPerSecond: float64(requests), Burst: 5000}
	change, err := config.Put(changed, base)
	if err != nil {
		t.Fatal(err)
	}
	response, err := vms.Apply(t.Context(), api.ApplyRequest{ID: uuid.New(), Changes: []api.Change{{Op: api.OpPut, Base: base, Resource: json.RawMessage(change.Document)}}})
	if err != nil {
		t.Fatal(err)
	}
	return response.Revision
}

// awaitState polls the status until it shows the named VM in the state, and returns how
// long that took.
func awaitState(t *testing.T, vms *client.Client, name, state string) time.Duration {
	t.Helper()
	const limit = 10 * time.Second
	begin := time.Now()
	for time.Since(begin) < limit {
		overview, err := vms.Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, vm := range overview.VMs {
			if vm.Name == name && vm.State == state {
				return time.Since(begin)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("VM %s is not %s within %s", name, state, limit)
	return 0
}

// revisionRecorder records the revisions of the put events that a watch delivers.
type revisionRecorder struct {
	mu        sync.Mutex
	revisions []uint64
}

func (w *revisionRecorder) handle(event api.Event) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if event.Type == api.EventPut {
		w.revisions = append(w.revisions, event.Revision)
	}
	return nil
}

func (w *revisionRecorder) has(revision uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.revisions, revision)
}

// Guards against a watch that loses, repeats or reorders changes when its VM is killed,
// and against a status that does not show a frozen or killed VM as missing.
func TestWatchAndStatusAfterVMLoss(t *testing.T) {
	is := is.New(t)
	d := deploy(t, topology{domains: map[string][]string{"a": {"a-1", "a-2"}, "b": {"b-1"}}, perDomain: 1, runTime: time.Millisecond})
	survivor := d.operatorClient(t, "b-1")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	delivered := &revisionRecorder{}
	from := uint64(1)
	options := client.WatchOptions{Kind: resource.KindRate, From: &from}
	ended := make(chan error, 1)
	go func() { ended <- d.operatorClient(t, "a-1", "b-1").Watch(ctx, options, delivered.handle) }()
	var revisions []uint64
	for i := range 20 {
		if i == 10 {
			d.vms["a-1"].signal(t, syscall.SIGKILL)
		}
		revisions = append(revisions, setRate(t, survivor, 1000+i))
		time.Sleep(20 * time.Millisecond)
	}
	for begin := time.Now(); !delivered.has(revisions[len(revisions)-1]); time.Sleep(pollInterval) {
		is.True(time.Since(begin) < 20*time.Second)
	}
	stop()
	is.True(<-ended != nil) // Watch returns the end of its context
	is.Equal(delivered.revisions, revisions)
	t.Logf("killed VM is missing after %s", awaitState(t, survivor, "a-1", api.VMMissing))

	d.vms["a-2"].signal(t, syscall.SIGSTOP)
	t.Logf("frozen VM is missing after %s", awaitState(t, survivor, "a-2", api.VMMissing))
	d.vms["a-2"].signal(t, syscall.SIGCONT)
	t.Logf("resumed VM is live after %s", awaitState(t, survivor, "a-2", api.VMLive))
	overview, err := survivor.Status(t.Context())
	is.NoErr(err)
	is.Equal(len(overview.VMs), 3)
	is.True(fmt.Sprint(overview.BackendServers) != "[]")
}

// pollInterval is the interval at which tests poll a status.
const pollInterval = 20 * time.Millisecond

// readyField returns the value of NAME=VALUE in the ready line, or an empty string.
func (p *process) readyField(name string) string {
	for _, field := range p.ready[2:] {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			return value
		}
	}
	return ""
}
