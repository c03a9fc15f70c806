package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `not a log line
{"level":"info","ts":"2026-03-03T15:27:50.000Z","msg":"backend server gone","vm":"vm-2","backend":"i-1"}
{"level":"info","ts":"2026-03-03T15:27:51.000Z","msg":"log topic lost","vm":"vm-1","topic":"t"}
{"level":"info","ts":"2026-03-03T15:27:51.500Z","msg":"log topic lost","vm":"vm-3","topic":"t"}
prefix {"level":"info","ts":"2026-03-03T15:27:52.000Z","msg":"request","vm":"vm-1","request":"r1","kind":"outcome-unknown","status":502,"attempts":[{"backend":"i-1","status":0,"took_ms":5,"at_ms":1,"detail":"reset"}]}
{"level":"info","ts":"2026-03-03T15:27:52.100Z","msg":"request","vm":"vm-1","request":"r2","kind":"answered","status":200}
{"level":"info","ts":"2026-03-03T15:27:53.000Z","msg":"log topic regained","vm":"vm-1","topic":"t"}
`

// TestTrace guards against a trace that lacks the lines of the cause, or contains lines of
// other requests.
func TestTrace(t *testing.T) {
	is := is.New(t)
	lines, skipped, err := Read(strings.NewReader(logs))
	is.NoErr(err)
	is.Equal(skipped, 1)
	var b strings.Builder
	is.NoErr(Find(lines, "r1").Write(&b, "r1"))
	output := b.String()
	for _, want := range []string{"backend server gone backend=i-1", "log topic lost", "=> 15:27:52.000 vm-1", "detail=reset"} {
		is.True(strings.Contains(output, want))
	}
	for _, other := range []string{"vm-3", "regained", "answered"} {
		is.True(!strings.Contains(output, other))
	}
}

// TestUnknownRequest guards against empty output for a request without a line.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	is.NoErr(Find(nil, "r9").Write(&b, "r9"))
	is.True(strings.Contains(b.String(), "no line of request r9"))
}
