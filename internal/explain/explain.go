// Package explain reconstructs the course of one request from the log lines of all VMs. It
// decides which other lines are relevant to the request; collecting the logs is left to
// the caller.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// contextWindow is how long before the line of the request other lines are included.
	// They show the state on which the VM based its decision.
	contextWindow = 6 * time.Second
	// maxContextLines is the largest number of context lines for one line of the request.
	maxContextLines = 20
	// maxLineBytes is the largest length of a log line. Read fails at a longer one.
	maxLineBytes = 1 << 20
	// timeLayout is the format of the field ts.
	timeLayout = "2006-01-02T15:04:05.000Z0700"
)

// Line is one parsed log line. Time is by the clock of the VM that wrote it.
type Line struct {
	Time    time.Time
	VM      string
	Message string
	Fields  map[string]any
	text    string
}

// Read parses log lines. It skips and counts lines without a JSON object or with an
// invalid time.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, errors.Wrap(err, "read log lines")
	}
	return lines, skipped, nil
}

// parse parses one line. It ignores text before the JSON object, such as the prefix of a
// log collector.
func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{text: text[start:]}
	if err := json.Unmarshal([]byte(line.text), &line.Fields); err != nil {
		return Line{}, false
	}
	timestamp, _ := line.Fields["ts"].(string)
	parsed, err := time.Parse(timeLayout, timestamp)
	if err != nil {
		return Line{}, false
	}
	line.Time = parsed
	line.VM, _ = line.Fields["vm"].(string)
	line.Message, _ = line.Fields["msg"].(string)
	return line, true
}

// Trace holds the lines of a request, the context lines before them, and the IDs of the
// backend servers to which the request was sent.
type Trace struct {
	Request  []Line
	Context  []Line
	Backends []string
}

// Find returns the lines of the request with the given ID, and the lines before them that
// concern its VM or its backend servers.
func Find(lines []Line, id string) Trace {
	var trace Trace
	for _, line := range lines {
		if line.Fields["request"] == id {
			trace.Request = append(trace.Request, line)
			trace.Backends = append(trace.Backends, attemptedBackends(line)...)
		}
	}
	slices.SortStableFunc(trace.Request, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, requestLine := range trace.Request {
		trace.Context = append(trace.Context, contextLines(lines, requestLine, trace.Backends)...)
	}
	slices.SortStableFunc(trace.Context, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return trace
}

// attemptedBackends returns the IDs of the backend servers in the attempts of a line.
func attemptedBackends(line Line) []string {
	var ids []string
	attempts, _ := line.Fields["attempts"].([]any)
	for _, a := range attempts {
		fields, _ := a.(map[string]any)
		if id, ok := fields["backend"].(string); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// contextLines returns the newest lines in the context window of a request's line: lines
// of the same VM that are not about a backend server, and lines of any VM about one of the
// given backend servers. Lines of other requests are left out.
func contextLines(lines []Line, requestLine Line, ids []string) []Line {
	var found []Line
	for _, line := range lines {
		if line.Fields["request"] != nil || line.Time.After(requestLine.Time) || requestLine.Time.Sub(line.Time) > contextWindow {
			continue
		}
		backend, _ := line.Fields["backend"].(string)
		if slices.Contains(ids, backend) || line.VM == requestLine.VM && backend == "" {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found[max(0, len(found)-maxContextLines):]
}

// Write prints the lines in order of time, with a mark before those of the request. Times
// are by the clock of each VM.
func (t Trace) Write(w io.Writer, id string) error {
	if len(t.Request) == 0 {
		_, err := fmt.Fprintf(w, "no line of request %s: it was answered without a failure and is not in the sample, or its line was suppressed\n", id)
		return err
	}
	for _, line := range slices.SortedStableFunc(slices.Values(append(t.Context, t.Request...)), func(a, b Line) int { return a.Time.Compare(b.Time) }) {
		mark := "  "
		if line.Fields["request"] == id {
			mark = "=>"
		}
		if _, err := fmt.Fprintf(w, "%s %s %-18s %s\n", mark, line.Time.Format("15:04:05.000"), line.VM, line.summary()); err != nil {
			return err
		}
	}
	return nil
}

// summary returns the message with the fields in alphabetical order, and one further line
// for each attempt.
func (l *Line) summary() string {
	var names []string
	for name := range l.Fields {
		if !slices.Contains([]string{"ts", "vm", "msg", "level", "attempts", "request", "errorVerbose"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	b.WriteString(l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	attempts, _ := l.Fields["attempts"].([]any)
	for i, a := range attempts {
		fields, _ := a.(map[string]any)
		fmt.Fprintf(&b, "\n     attempt %d: backend %v at %v ms took %v ms status %v", i+1, fields["backend"], fields["at_ms"], fields["took_ms"], fields["status"])
		for _, name := range []string{"detail", "hedge", "reused", "busy", "report_age_ms", "fence"} {
			if value, ok := fields[name]; ok && value != false {
				fmt.Fprintf(&b, " %s=%v", name, value)
			}
		}
	}
	return b.String()
}
