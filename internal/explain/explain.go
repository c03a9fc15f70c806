// Package explain tells the story of one request from the logs of all VMs.
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
	// contextTime is how long before the request's line other lines of its VM are told:
	// what the VM believed when it decided.
	contextTime = 6 * time.Second
	// maxContext bounds the context lines of one VM.
	maxContext = 20
	// maxLine bounds the length of a log line.
	maxLine = 1 << 20
	// timeLayout is the format of the field ts.
	timeLayout = "2006-01-02T15:04:05.000Z0700"
)

// Line is one log line.
type Line struct {
	At      time.Time
	VM      string
	Message string
	Fields  map[string]any
	text    string
}

// Read parses log lines. Lines that are no JSON object are left out and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, errors.Wrap(err, "log")
	}
	return lines, skipped, nil
}

// parse reads a line. Text before the object, such as a prefix of a log collector,
// is left out.
func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{text: text[start:]}
	if err := json.Unmarshal([]byte(line.text), &line.Fields); err != nil {
		return Line{}, false
	}
	stamp, _ := line.Fields["ts"].(string)
	at, err := time.Parse(timeLayout, stamp)
	if err != nil {
		return Line{}, false
	}
	line.At = at
	line.VM, _ = line.Fields["vm"].(string)
	line.Message, _ = line.Fields["msg"].(string)
	return line, true
}

// Story is what the logs tell of a request.
type Story struct {
	Request  []Line
	Context  []Line
	Backends []string
}

// Find collects the lines of a request, and those that tell what its VM and its
// backend servers went through before.
func Find(lines []Line, id string) Story {
	var s Story
	for _, line := range lines {
		if line.Fields["request"] == id {
			s.Request = append(s.Request, line)
			s.Backends = append(s.Backends, backends(line)...)
		}
	}
	slices.SortStableFunc(s.Request, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, of := range s.Request {
		s.Context = append(s.Context, contextOf(lines, of, s.Backends)...)
	}
	slices.SortStableFunc(s.Context, func(a, b Line) int { return a.At.Compare(b.At) })
	return s
}

// backends returns the backend servers of a request line's attempts.
func backends(line Line) []string {
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

// contextOf returns the newest lines before a request's line that tell of a change,
// at its VM or, for its backend servers, at any VM.
func contextOf(lines []Line, of Line, ids []string) []Line {
	var found []Line
	for _, line := range lines {
		if line.Fields["request"] != nil || line.At.After(of.At) || of.At.Sub(line.At) > contextTime {
			continue
		}
		backend, _ := line.Fields["backend"].(string)
		if slices.Contains(ids, backend) || line.VM == of.VM && backend == "" {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.At.Compare(b.At) })
	return found[max(0, len(found)-maxContext):]
}

// Write prints the story. Times are those of each VM's own clock.
func (s Story) Write(w io.Writer, id string) error {
	if len(s.Request) == 0 {
		_, err := fmt.Fprintf(w, "no line of request %s: it was answered without a failure and is not in the sample, or its line was suppressed\n", id)
		return err
	}
	for _, line := range slices.SortedStableFunc(slices.Values(append(s.Context, s.Request...)), func(a, b Line) int { return a.At.Compare(b.At) }) {
		mark := "  "
		if line.Fields["request"] == id {
			mark = "=>"
		}
		if _, err := fmt.Fprintf(w, "%s %s %-18s %s\n", mark, line.At.Format("15:04:05.000"), line.VM, line.summary()); err != nil {
			return err
		}
	}
	return nil
}

// summary is the message with its fields in a stable order.
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
