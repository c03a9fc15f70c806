package report

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/trace"
)

// Guards against counting every rate refusal as justified, and against counting a
// refusal after the burst is used up as wrongful.
func TestMarkInsideRate(t *testing.T) {
	is := is.New(t)
	refused := func(id string) trace.Answer {
		return trace.Answer{Request: id, Outcome: trace.NotRun, Status: 429, Reason: trace.RefusedRate}
	}
	second := int64(time.Second)
	bodies := []struct {
		timestamp int64
		body      trace.Body
	}{
		{0, trace.Rate{Workspace: "w", RequestsPerSecond: 1, Burst: 2, Revision: 1}},
		{0, trace.Rate{Workspace: "w", RequestsPerSecond: 1, Burst: 2, Revision: 1}}, // from another VM
		{1, trace.Request{Request: "inside", Workspace: "w"}},
		{2, refused("inside")},
		{3, trace.Request{Request: "b", Workspace: "w"}},
		{3, trace.Admitted{Request: "b", Workspace: "w"}},
		{4, trace.Request{Request: "outside", Workspace: "w"}},
		{5, refused("outside")},
		{1*second + 6, trace.Request{Request: "still outside", Workspace: "w"}}, // the token added after 1 s was used up by "outside"
		{1*second + 7, refused("still outside")},
		{4 * second, trace.Request{Request: "later", Workspace: "w"}},
		{4*second + 1, refused("later")},
	}
	var events []trace.Event
	for i, b := range bodies {
		events = append(events, trace.Event{Time: b.timestamp, VM: "vm", Seq: uint64(i + 1), Body: b.body})
	}
	insideRate := make(map[string]bool)
	for _, event := range MarkInsideRate(events) {
		if answer, ok := event.Body.(trace.Answer); ok {
			insideRate[answer.Request] = answer.InsideRate
		}
	}
	is.Equal(insideRate, map[string]bool{"inside": true, "outside": false, "still outside": false, "later": true})
	is.True(!events[3].Body.(trace.Answer).InsideRate) // the input is not modified
}
