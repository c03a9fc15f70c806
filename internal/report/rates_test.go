package report

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/trace"
)

// Guards against a metric that takes every refusal for rate as rightful, or that
// takes a refusal after the burst for a wrongful one.
func TestJudgeRates(t *testing.T) {
	is := is.New(t)
	refused := func(id string) trace.Answer {
		return trace.Answer{Request: id, Outcome: trace.NotRun, Status: 429, Reason: trace.RefusedRate}
	}
	second := int64(time.Second)
	bodies := []struct {
		at   int64
		body trace.Body
	}{
		{0, trace.Rate{Workspace: "w", RequestsPerSecond: 1, Burst: 2, Revision: 1}},
		{0, trace.Rate{Workspace: "w", RequestsPerSecond: 1, Burst: 2, Revision: 1}}, // from another VM
		{1, trace.Request{Request: "inside", Workspace: "w"}},
		{2, refused("inside")},
		{3, trace.Request{Request: "b", Workspace: "w"}},
		{3, trace.Admitted{Request: "b", Workspace: "w"}},
		{4, trace.Request{Request: "outside", Workspace: "w"}},
		{5, refused("outside")},
		{1*second + 6, trace.Request{Request: "still outside", Workspace: "w"}}, // the token of 1 s paid for "outside"
		{1*second + 7, refused("still outside")},
		{4 * second, trace.Request{Request: "later", Workspace: "w"}},
		{4*second + 1, refused("later")},
	}
	var events []trace.Event
	for i, b := range bodies {
		events = append(events, trace.Event{Time: b.at, VM: "vm", Seq: uint64(i + 1), Body: b.body})
	}
	judged := make(map[string]bool)
	for _, event := range MarkInsideRate(events) {
		if answer, ok := event.Body.(trace.Answer); ok {
			judged[answer.Request] = answer.InsideRate
		}
	}
	is.Equal(judged, map[string]bool{"inside": true, "outside": false, "still outside": false, "later": true})
	is.True(!events[3].Body.(trace.Answer).InsideRate) // the input stays as it was
}
