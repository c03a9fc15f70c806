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

// configTrace is a configuration and the trace that one VM records of it.
type configTrace struct {
	t        *testing.T
	state    *config.State
	output   bytes.Buffer
	writer   *trace.Writer
	recorder *Config
}

func newConfigTrace(t *testing.T) *configTrace {
	c := &configTrace{t: t, state: config.NewState()}
	writer, err := trace.NewWriter(&c.output, trace.WriterOptions{VM: "vm", Header: trace.Header{Role: trace.RoleVM, Instance: "a"}})
	if err != nil {
		t.Fatal(err)
	}
	c.writer, c.recorder = writer, NewConfig(writer)
	return c
}

// apply appends the changes to the configuration and records the view that results.
func (c *configTrace) apply(changes ...config.Change) {
	c.t.Helper()
	offset := c.state.Position() + 1
	c.state.Apply(offset, config.NewRecord(uuid.New(), 0, changes...))
	c.recorder.Record(c.state.View())
}

func put(name string, spec resource.Spec) config.Change {
	change, err := config.Put(resource.Resource{APIVersion: resource.APIVersion, Metadata: resource.Metadata{Name: name}, Spec: spec}, 0)
	if err != nil {
		panic(err)
	}
	return change
}

// recordedBodies closes the trace and returns its events between the header and the
// end.
func (c *configTrace) recordedBodies() []trace.Body {
	c.t.Helper()
	if err := c.writer.Close(); err != nil {
		c.t.Fatal(err)
	}
	events, err := trace.ReadAll(&c.output, trace.ReaderOptions{})
	if err != nil {
		c.t.Fatal(err)
	}
	var bodies []trace.Body
	for _, event := range events[1 : len(events)-1] {
		bodies = append(bodies, event.Body)
	}
	return bodies
}

// Guards against changes that are missing in the trace, such as a drain, a withdrawn key
// or a revision in force.
func TestConfigRecordsChanges(t *testing.T) {
	is := is.New(t)
	c := newConfigTrace(t)
	key := trace.DigestOf([]byte("k"))
	c.apply(
		put("plateau", &resource.FailureDomainSpec{}),
		put("w", &resource.WorkspaceSpec{}),
		put("k", &resource.CallerKeySpec{Workspace: "w", Digest: string(key)}),
		put("r", &resource.RateSpec{Workspace: "w", RequestsPerSecond: 5, Burst: 2}),
	)
	c.apply(put("d", &resource.DrainSpec{FailureDomain: "plateau"}))
	c.apply(config.Delete(resource.ID{Kind: resource.KindDrain, Name: "d"}, 2), config.Delete(resource.ID{Kind: resource.KindCallerKey, Name: "k"}, 1))
	c.apply(config.Delete(resource.ID{Kind: resource.KindDrain, Name: "d"}, 99)) // rejected
	var digests []trace.Hash
	var rest []trace.Body
	var inForce []uint64
	for _, body := range c.recordedBodies() {
		switch body := body.(type) {
		case trace.ConfigAccepted:
			digests = append(digests, body.Digest)
		case trace.ConfigInForce:
			inForce = append(inForce, body.Revision)
		default:
			rest = append(rest, body)
		}
	}
	is.Equal(len(digests), 3) // a rejected change is not recorded as accepted
	is.Equal(inForce, []uint64{1, 2, 3, 4})
	is.Equal(rest, []trace.Body{
		trace.CallerKey{Digest: key, Workspace: "w", Revision: 1},
		trace.Rate{Workspace: "w", RequestsPerSecond: 5, Burst: 2, Revision: 1},
		trace.Leave{Phase: trace.LeaveDrain, Domain: "plateau", Revision: 2},
		trace.CallerKeyWithdraw{Digest: key, Revision: 3},
		trace.Leave{Phase: trace.LeaveWithdrawn, Domain: "plateau", Revision: 2},
	})
}
