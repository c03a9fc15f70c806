package report

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"

	"github.com/matryer/is"
)

const second = int64(time.Second)

var (
	b1 = trace.Server{Service: "rota", Name: "b1", Domain: "plateau"}
	b2 = trace.Server{Service: "rota", Name: "b2", Domain: "medina"}
	// halfObjective makes burn rates easy to compute: a budget of one half.
	halfObjective = Objectives{"rota": {Availability: 0.5, Latency: resource.Duration(100 * time.Millisecond), Percentile: 0.5}}
)

// recorder builds traces; times are in Unix ns.
type recorder struct {
	events []trace.Event
}

func (r *recorder) add(at int64, body trace.Body) {
	r.events = append(r.events, trace.Event{Time: at, VM: "vm-a", Seq: uint64(len(r.events) + 1), Body: body})
}

func (r *recorder) request(at int64, workspace string, latency time.Duration, answer trace.Answer) {
	id := fmt.Sprintf("r%d", len(r.events))
	r.add(at, trace.Request{Request: id, Workspace: workspace, Service: "rota", Method: "GET", Path: "/rota"})
	answer.Request = id
	r.add(at+int64(latency), answer)
}

func (r *recorder) run(at int64, server trace.Server, busy time.Duration) {
	id := fmt.Sprintf("r%d", len(r.events))
	r.add(at, trace.RunStart{Request: id, Attempt: 1, Server: server})
	r.add(at+int64(busy), trace.RunEnd{Request: id, Attempt: 1, Server: server})
}

var (
	okAnswer      = trace.Answer{Outcome: trace.Ran, Status: 200, InsideRate: true}
	wrongAnswer   = trace.Answer{Outcome: trace.NotRun, Status: 503, InsideRate: true, Reason: trace.RefusedNoOwner}
	overRate      = trace.Answer{Outcome: trace.NotRun, Status: 429, Reason: trace.RefusedRate}
	callerFault   = trace.Answer{Outcome: trace.NotRun, Status: 401, Reason: trace.RefusedUnauthenticated}
	unknownAnswer = trace.Answer{Outcome: trace.Unknown, Status: 504, InsideRate: true, Reason: trace.RefusedDeadline}
	serverError   = trace.Answer{Outcome: trace.Ran, Status: 500, InsideRate: true}
)

// sampleTrace has two workspaces, a drain of medina from 20 s to 30 s and a move.
func sampleTrace() []trace.Event {
	r := &recorder{}
	r.add(0, trace.ServerState{Server: b1, Instance: "i", State: trace.Warm, Capacity: 4})
	r.add(0, trace.ServerState{Server: b2, Instance: "i", State: trace.Warm, Capacity: 4})
	r.add(second, trace.Grant{Server: b2, Instance: "i", Unit: 1, Token: trace.Token{Term: 1, Counter: 1}})
	for i := range int64(8) {
		r.request((10+i)*second, "w1", 10*time.Millisecond, okAnswer)
	}
	r.request(15*second, "w2", 200*time.Millisecond, okAnswer)
	r.add(20*second, trace.Leave{Phase: trace.LeaveDrain, Domain: "medina", Revision: 1})
	r.add(20*second, trace.Fault{Phase: trace.Begin, ID: "f", Kind: trace.FaultServerSlow, Server: b1})
	r.add(21*second, trace.Revoke{Server: b2, Instance: "i", Unit: 1})
	r.request(21*second, "w2", time.Millisecond, wrongAnswer)
	r.request(22*second, "w2", 300*time.Millisecond, okAnswer)
	r.add(22*second, trace.Grant{Server: b1, Instance: "i", Unit: 1, Token: trace.Token{Term: 1, Counter: 2}})
	r.add(29*second, trace.Fault{Phase: trace.Finished, ID: "f", Kind: trace.FaultServerSlow, Server: b1})
	r.add(30*second, trace.Leave{Phase: trace.LeaveWithdrawn, Domain: "medina", Revision: 1})
	r.request(31*second, "w1", time.Millisecond, overRate)
	r.request(32*second, "w1", time.Millisecond, callerFault)
	r.request(33*second, "w1", 10*time.Millisecond, okAnswer)
	r.run(34*second, b1, 3*time.Second)
	r.run(34*second, b2, time.Second)
	r.add(40*second, trace.End{})
	return r.events
}

// Guards against a refusal or failure that is counted in the wrong class, which
// would hide wrongful refusals or charge callers' faults to the service.
func TestClasses(t *testing.T) {
	cases := []struct {
		answer trace.Answer
		want   Counts
	}{
		{okAnswer, Counts{Valid: 1}},
		{wrongAnswer, Counts{Valid: 1, Failed: 1, RefusedInside: 1}},
		{overRate, Counts{RefusedOutside: 1}},
		{callerFault, Counts{}},
		{unknownAnswer, Counts{Valid: 1, Failed: 1}},
		{serverError, Counts{Valid: 1, Failed: 1}},
		{trace.Answer{Outcome: trace.Ran, Status: 200, Aborted: true}, Counts{Valid: 1, Failed: 1}},
	}
	for _, c := range cases {
		r := &recorder{}
		r.request(second, "w", time.Millisecond, c.answer)
		var counts Counts
		for _, s := range joinRequests(r.events) {
			counts.count(s, time.Second)
		}
		is.New(t).Equal(counts, c.want)
	}
}

// Guards against a request that was never answered vanishing from the report, and
// against one that is still in progress counting as failed.
func TestUnansweredRequests(t *testing.T) {
	is := is.New(t)
	r := &recorder{}
	r.add(0, trace.Request{Request: "lost", Service: "rota"})
	r.add(9*second, trace.Request{Request: "in progress", Service: "rota"})
	r.add(10*second, trace.End{})
	list := joinRequests(r.events)
	is.Equal(len(list), 1)
	is.Equal(list[0].class(), failed)
}

// Guards against a wrong burn rate, an alert on one window alone, and a wrong
// worst-served workspace.
func TestBurn(t *testing.T) {
	is := is.New(t)
	samples := SamplesOf(sampleTrace(), halfObjective, DefaultStep)
	windows := []Window{{Name: "fast", Long: time.Minute, Short: 10 * time.Second, Threshold: 1}}
	burn := ComputeBurn(samples, halfObjective, windows)
	is.Equal(len(burn.Rows), 2)
	is.Equal(burn.Worst.Workspace, "w2")
	long := burn.Worst.Windows[0].Long
	is.Equal(long.Counts, Counts{Valid: 3, Failed: 1, RefusedInside: 1, Slow: 2})
	is.Equal(long.Availability, 1.0/3/0.5)
	is.Equal(long.RefusedInsideBudget, 1.0/3/0.5)
	is.Equal(long.Latency, 2.0)
	is.Equal(long.Covered, 30*time.Second)
	is.True(!burn.Worst.Windows[0].Alert) // the short window has no request
	is.Equal(burn.Rows[0].Windows[0].Long.Counts, Counts{Valid: 9, RefusedOutside: 1})
}

// Guards against counters of several VMs replacing instead of adding to each other.
func TestBurnAddsCounters(t *testing.T) {
	is := is.New(t)
	sample := Sample{Start: time.Unix(0, 0), Length: DefaultStep, Service: "rota", Workspace: "w", Counts: Counts{Valid: 10, Failed: 5}}
	burn := ComputeBurn([]Sample{sample, sample}, nil, DefaultWindows())
	is.Equal(burn.Rows[0].Windows[1].Long.Valid, uint64(20))
	is.True(burn.Rows[0].Windows[0].Alert)
}

// Guards against counters that change on their way through JSON, and against
// impossible ones, whose burn rate would be negative.
func TestReadSamples(t *testing.T) {
	is := is.New(t)
	want := SamplesOf(sampleTrace(), halfObjective, DefaultStep)
	data, err := json.Marshal(want)
	is.NoErr(err)
	got, err := ReadSamples(bytes.NewReader(data))
	is.NoErr(err)
	is.Equal(got, want)
	for _, input := range []string{
		`[{"service":"rota","valid":1}]`,
		`[{"service":"rota","length_ns":1,"valid":1,"failed":2}]`,
		`[{"service":"rota","length_ns":1,"valid":1,"failed":1,"slow":1}]`,
		`[{"service":"rota","length_ns":1,"vlaid":1}]`,
	} {
		_, err := ReadSamples(strings.NewReader(input))
		is.True(err != nil)
	}
}

// Guards against wrong figures in the five metrics.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	m := ComputeMetrics(sampleTrace(), halfObjective)
	is.Equal(m.Balance[0].Imbalance, 1.5)
	is.Equal(m.Balance[0].Moves, 1)
	is.Equal(m.Balance[0].Unavailable, time.Second)
	is.Equal(m.Balance[0].LongestGap, time.Second)
	is.Equal(len(m.Departures), 1)
	d := m.Departures[0]
	is.True(d.Returned)
	is.Equal(d.Before.Counts, Counts{Valid: 9, Slow: 1})
	is.Equal(d.During.Counts, Counts{Valid: 2, Failed: 1, RefusedInside: 1, Slow: 1})
	is.Equal(d.During.WorstSecond, 1.0)
	is.Equal(d.After.Counts, Counts{Valid: 1, RefusedOutside: 1})
	is.Equal(d.Longest, time.Second)
	is.Equal(len(m.Latency), 2)
	is.Equal(m.Latency[0].Count, int64(11))
	is.Equal(m.Latency[1].Count, int64(1))
	is.True(m.Latency[0].At(50) >= 10*time.Millisecond && m.Latency[0].At(50) < 11*time.Millisecond)
	is.True(m.Latency[1].At(99) >= 300*time.Millisecond && m.Latency[1].At(99) < 301*time.Millisecond)
	is.Equal(m.WorstWorkspace, "w2")
	is.Equal(m.Wrongful.Refused, uint64(1))
	is.Equal(m.Wrongful.ByReason, []ReasonCount{{"w2", trace.RefusedNoOwner, 1}})
}

// Guards against a report that can't be written or parsed, also without events.
func TestOutputs(t *testing.T) {
	for _, events := range [][]trace.Event{nil, sampleTrace()} {
		is := is.New(t)
		m := ComputeMetrics(events, halfObjective)
		burn := ComputeBurn(SamplesOf(events, halfObjective, DefaultStep), halfObjective, DefaultWindows())
		var text, data bytes.Buffer
		is.NoErr(m.WriteText(&text))
		is.NoErr(burn.WriteText(&text))
		is.NoErr(WriteJSON(&data, m))
		is.True(json.Valid(data.Bytes()))
		is.NoErr(WriteJSON(io.Discard, burn))
		plots, err := m.Plots()
		is.NoErr(err)
		for _, p := range plots {
			var svg bytes.Buffer
			is.NoErr(p.WriteSVG(&svg))
			is.NoErr(xml.Unmarshal(svg.Bytes(), new(struct{})))
		}
		if events != nil {
			is.Equal(len(plots), 5)
			is.True(strings.Contains(text.String(), "worst served: workspace w2"))
		}
	}
}
