package recording

import (
	"bytes"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"fireflyfield/internal/config"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// world is a configuration with the trace of one VM that follows it.
type world struct {
	t        *testing.T
	state    *config.State
	output   bytes.Buffer
	writer   *trace.Writer
	recorder *Config
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, state: config.NewState()}
	writer, err := trace.NewWriter(&w.output, trace.WriterOptions{VM: "vm", Header: trace.Header{Role: trace.RoleVM, Instance: "a"}})
	if err != nil {
		t.Fatal(err)
	}
	w.writer, w.recorder = writer, NewConfig(writer)
	return w
}

func (w *world) apply(changes ...config.Change) {
	w.t.Helper()
	offset := w.state.Position() + 1
	w.state.Apply(offset, config.NewRecord(uuid.New(), 0, changes...))
	w.recorder.See(w.state.View())
}

func put(name string, spec resource.Spec) config.Change {
	change, err := config.Put(resource.Resource{APIVersion: resource.APIVersion, Metadata: resource.Metadata{Name: name}, Spec: spec}, 0)
	if err != nil {
		panic(err)
	}
	return change
}

// bodies returns what was recorded between the header and the end.
func (w *world) bodies() []trace.Body {
	w.t.Helper()
	if err := w.writer.Close(); err != nil {
		w.t.Fatal(err)
	}
	events, err := trace.ReadAll(&w.output, trace.ReaderOptions{})
	if err != nil {
		w.t.Fatal(err)
	}
	var bodies []trace.Body
	for _, event := range events[1 : len(events)-1] {
		bodies = append(bodies, event.Body)
	}
	return bodies
}

// Guards against a change that no checker sees, such as a drain, a withdrawn key
// or a revision in force.
func TestRecordsChanges(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	key := trace.DigestOf([]byte("k"))
	w.apply(
		put("plateau", &resource.FailureDomainSpec{}),
		put("w", &resource.WorkspaceSpec{}),
		put("k", &resource.CallerKeySpec{Workspace: "w", Digest: string(key)}),
		put("r", &resource.RateSpec{Workspace: "w", RequestsPerSecond: 5, Burst: 2}),
	)
	w.apply(put("d", &resource.DrainSpec{FailureDomain: "plateau"}))
	w.apply(config.Delete(resource.ID{Kind: resource.KindDrain, Name: "d"}, 2), config.Delete(resource.ID{Kind: resource.KindCallerKey, Name: "k"}, 1))
	w.apply(config.Delete(resource.ID{Kind: resource.KindDrain, Name: "d"}, 99)) // refused
	var digests []trace.Hash
	var rest []trace.Body
	var inForce []uint64
	for _, body := range w.bodies() {
		switch body := body.(type) {
		case trace.ConfigAccepted:
			digests = append(digests, body.Digest)
		case trace.ConfigInForce:
			inForce = append(inForce, body.Revision)
		default:
			rest = append(rest, body)
		}
	}
	is.Equal(len(digests), 3) // a refused change is not accepted
	is.Equal(inForce, []uint64{1, 2, 3, 4})
	is.Equal(rest, []trace.Body{
		trace.CallerKey{Digest: key, Workspace: "w", Revision: 1},
		trace.Rate{Workspace: "w", RequestsPerSecond: 5, Burst: 2, Revision: 1},
		trace.Leave{Phase: trace.LeaveDrain, Domain: "plateau", Revision: 2},
		trace.CallerKeyWithdraw{Digest: key, Revision: 3},
		trace.Leave{Phase: trace.LeaveWithdrawn, Domain: "plateau", Revision: 2},
	})
}
