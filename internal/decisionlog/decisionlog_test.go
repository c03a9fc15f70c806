package decisionlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/forward"
)

// blockedOutput is an output whose Write never returns. It closes begun when Write is called.
type blockedOutput struct{ begun chan struct{} }

func (o blockedOutput) Write([]byte) (int, error) {
	close(o.begun)
	select {}
}

// TestBlockedOutput guards against a blocked standard output that blocks requests, and
// against dropped lines that are not counted. Until the output blocks, the writer takes lines
// out of the buffer, so the lines to count are written after that.
func TestBlockedOutput(t *testing.T) {
	out := blockedOutput{begun: make(chan struct{})}
	w := NewWriter(out)
	w.Write([]byte("first line\n")) //nolint:errcheck // it never fails
	<-out.begun
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * bufferedLines {
			w.Write([]byte("line\n")) //nolint:errcheck // it never fails
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the output is blocked")
	}
	if w.Dropped() != 2*bufferedLines {
		t.Errorf("%d lines counted as dropped, want %d", w.Dropped(), 2*bufferedLines)
	}
}

// newTestRequests returns an observer, its clock, a function that closes the log and
// returns its lines, and the number of events by reason and outcome.
func newTestRequests(t *testing.T) (*Requests, *clock.Fake, func() []map[string]any, map[string]int) {
	var out bytes.Buffer
	w := NewWriter(&out)
	fake := &clock.Fake{}
	counts := map[string]int{}
	r := NewRequests(NewLogger(w, zap.InfoLevel), fake, func(e *forward.Event, outcome string) { counts[e.Reason+"/"+outcome]++ })
	return r, fake, func() []map[string]any {
		w.Close()
		var lines []map[string]any
		for line := range strings.Lines(out.String()) {
			var fields map[string]any
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatal(err)
			}
			lines = append(lines, fields)
		}
		return lines
	}, counts
}

// TestLineRateLimit guards against a line for each of many rejected requests, and against
// suppressed lines that are not counted.
func TestLineRateLimit(t *testing.T) {
	is := is.New(t)
	r, fake, read, counts := newTestRequests(t)
	const requests = 10000
	for i := range requests {
		fake.Time = time.Duration(i) * time.Millisecond
		r.Request(&forward.Event{ID: fmt.Sprint(i), Reason: "rate-exceeded", Status: 429})
	}
	fake.Time = 20 * time.Second
	r.Request(&forward.Event{ID: "last", Reason: "other", Status: 503})
	lines := read()
	written, suppressed := 0, 0
	for _, line := range lines {
		if line["kind"] == "rate-exceeded" {
			written++
		}
		if n, ok := line["rate-exceeded"].(float64); ok {
			suppressed += int(n)
		}
	}
	is.Equal(written, 10*linesPerSecond)
	is.Equal(written+suppressed, requests)
	is.Equal(counts["rate-exceeded/not-run"], requests)
}

// TestRejectionAndFailureLines guards against rejections and unknown outcomes without a
// line, or with a line that lacks the values on which the decision was based.
func TestRejectionAndFailureLines(t *testing.T) {
	is := is.New(t)
	r, _, read, counts := newTestRequests(t)
	r.Request(&forward.Event{ID: "a", Reason: "owner-no-backend", Status: 503, Key: 7, ConfigVersion: 3, OwnerWait: time.Second})
	r.Request(&forward.Event{ID: "b", Reason: "outcome-unknown", Status: 502, Key: forward.NoKey,
		Attempts: []forward.AttemptEvent{{Backend: "i-1", Detail: "reset", Took: time.Millisecond, InFlight: 2}}})
	lines := read()
	is.Equal(len(lines), 2)
	is.Equal(lines[0]["outcome"], "not-run")
	is.Equal(lines[0]["owner_wait_ms"], 1000.0)
	is.Equal(lines[0]["config_version"], 3.0)
	is.Equal(lines[1]["outcome"], "unknown")
	attempt := lines[1]["attempts"].([]any)[0].(map[string]any)
	is.Equal(attempt["backend"], "i-1")
	is.Equal(attempt["detail"], "reset")
	is.Equal(counts["outcome-unknown/unknown"], 1)
}
