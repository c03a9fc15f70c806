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

func (d *deployment) operators(t *testing.T, names ...string) *client.Client {
	t.Helper()
	var addresses []string
	for _, name := range names {
		addresses = append(addresses, d.vms[name].field("operator"))
	}
	made, err := client.New(addresses, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// setRate changes the rate of the workspace and returns the revision.
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

// awaitState polls the status at one VM until another one has the state.
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

// watched collects the revisions that a watch delivers.
type watched struct {
	mu        sync.Mutex
	revisions []uint64
}

func (w *watched) handle(event api.Event) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if event.Type == api.EventPut {
		w.revisions = append(w.revisions, event.Revision)
	}
	return nil
}

func (w *watched) has(revision uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.revisions, revision)
}

// Guards against a watch that loses, repeats or reorders changes when its VM is
// killed, and against a status that does not show a VM that is frozen or gone.
func TestOperatorsThroughLossOfVM(t *testing.T) {
	is := is.New(t)
	d := deploy(t, topology{domains: map[string][]string{"a": {"a-1", "a-2"}, "b": {"b-1"}}, perDomain: 1, runTime: time.Millisecond})
	second := d.operators(t, "b-1")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	seen := &watched{}
	from := uint64(1)
	options := client.WatchOptions{Kind: resource.KindRate, From: &from}
	ended := make(chan error, 1)
	go func() { ended <- d.operators(t, "a-1", "b-1").Watch(ctx, options, seen.handle) }()
	var revisions []uint64
	for i := range 20 {
		if i == 10 {
			d.vms["a-1"].signal(t, syscall.SIGKILL)
		}
		revisions = append(revisions, setRate(t, second, 1000+i))
		time.Sleep(20 * time.Millisecond)
	}
	for begin := time.Now(); !seen.has(revisions[len(revisions)-1]); time.Sleep(pollWait) {
		is.True(time.Since(begin) < 20*time.Second)
	}
	stop()
	is.True(<-ended != nil) // the context ended
	is.Equal(seen.revisions, revisions)
	t.Logf("killed VM is missing after %s", awaitState(t, second, "a-1", api.VMMissing))

	d.vms["a-2"].signal(t, syscall.SIGSTOP)
	t.Logf("frozen VM is missing after %s", awaitState(t, second, "a-2", api.VMMissing))
	d.vms["a-2"].signal(t, syscall.SIGCONT)
	t.Logf("resumed VM is live after %s", awaitState(t, second, "a-2", api.VMLive))
	overview, err := second.Status(t.Context())
	is.NoErr(err)
	is.Equal(len(overview.VMs), 3)
	is.True(fmt.Sprint(overview.BackendServers) != "[]")
}

const pollWait = 20 * time.Millisecond

// field returns a further address of the ready line.
func (p *process) field(name string) string {
	for _, field := range p.ready[2:] {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			return value
		}
	}
	return ""
}
