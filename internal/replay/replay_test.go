package replay

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/check"
	"fireflyfield/internal/trace"
)

func generate(t *testing.T, options GenerateOptions) []trace.Event {
	t.Helper()
	events, err := Generate(options)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// Guards against scripts that the trace reader rejects, that differ for the same seed,
// or in which all workspaces send equally many requests.
func TestGenerate(t *testing.T) {
	for _, example := range examples {
		for _, scenario := range Scenarios() {
			t.Run(example+" "+scenario, func(t *testing.T) {
				is := is.New(t)
				options := GenerateOptions{Example: example, Duration: 5 * time.Second, Rate: 200, Seed: 7, Scenario: scenario, Repeats: 0.1}
				events := generate(t, options)
				is.Equal(events, generate(t, options))
				var output bytes.Buffer
				is.NoErr(trace.WriteAll(&output, func(yield func(trace.Event, error) bool) {
					for _, event := range events {
						if !yield(event, nil) {
							return
						}
					}
				}))
				read, err := trace.ReadAll(&output, trace.ReaderOptions{})
				is.NoErr(err)
				is.Equal(len(read), len(events))
				found, err := ExampleOf(read)
				is.NoErr(err)
				is.Equal(found, example)
				shares := requestsByWorkspace(events)
				is.Equal(len(shares), 8)
				if scenario == "none" {
					is.True(slices.Max(shares) > 5*slices.Min(shares))
				}
			})
		}
	}
}

// requestsByWorkspace returns the numbers of requests of the workspaces, in no
// particular order.
func requestsByWorkspace(events []trace.Event) []int {
	counts := make(map[string]int)
	for _, event := range events {
		if body, ok := event.Body.(trace.Request); ok {
			counts[body.Workspace]++
		}
	}
	var list []int
	for _, count := range counts {
		list = append(list, count)
	}
	return list
}

// Guards against a replay that drains a failure domain once for each VM that recorded
// the drain, or that silently skips a fault that it can't inject.
func TestScript(t *testing.T) {
	is := is.New(t)
	leave := trace.Leave{Phase: trace.LeaveDrain, Domain: "plateau", Revision: 3}
	events := []trace.Event{
		{Time: 100, VM: "a", Seq: 1, Body: trace.Request{Request: "r", Workspace: "w", Service: "rota"}},
		{Time: 200, VM: "a", Seq: 2, Body: leave},
		{Time: 300, VM: "b", Seq: 1, Body: leave},
	}
	planned, err := newScript(events)
	is.NoErr(err)
	is.Equal(planned.requests[0].after, time.Duration(0))
	is.Equal(planned.changes, []scriptEvent{{100, leave}})
	lost := trace.Event{Time: 400, VM: "d", Seq: 1, Body: trace.Fault{Phase: trace.Begin, ID: "x", Kind: trace.FaultVMLost, VM: "a"}}
	_, err = newScript(append(events, lost))
	is.True(err != nil)
}

// Guards against a recording that the checker can't use: requests, runs and
// configuration of every process have to be in one file without gaps.
func TestRunIsRecorded(t *testing.T) {
	is := is.New(t)
	events := generate(t, GenerateOptions{Example: "serra-sul", Duration: 500 * time.Millisecond, Rate: 100, Seed: 1, Scenario: "backend-restart"})
	output := &closableBuffer{}
	sink := trace.NewSink(output)
	summary, err := Run(t.Context(), Options{Example: "serra-sul", Events: events, Speed: 1, RunTime: time.Millisecond, WarmAfter: 4, Trace: sink})
	is.NoErr(err)
	is.NoErr(sink.Close())
	recorded, err := trace.ReadAll(&output.Buffer, trace.ReaderOptions{})
	is.NoErr(err)
	is.Equal(len(requestsByWorkspace(recorded)), len(requestsByWorkspace(events)))
	is.True(summary.Statuses[200] > 0)
	results := check.Run(recorded, check.DefaultOptions())
	for _, result := range results {
		t.Log(result)
	}
	is.True(!check.AnyBroken(results))
	is.Equal(results[6].Verdict, check.Held) // the check that compares answers with runs
}

// closableBuffer is a buffer that implements io.WriteCloser.
type closableBuffer struct{ bytes.Buffer }

// Close implements io.Closer.
func (*closableBuffer) Close() error { return nil }
