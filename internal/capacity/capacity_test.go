package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const benchOutput = `goos: linux
BenchmarkHeartbeat
BenchmarkHeartbeat-8   	  100	  2000 ns/op	  50.0 wire-B/op
BenchmarkHeartbeat-8   	  100	  4000 ns/op	  50.0 wire-B/op
BenchmarkMembers/members=100-8 	 10	 5 ns/op	 11000 state-B
BenchmarkMembers/members=200-8 	 10	 5 ns/op	 21000 state-B
BenchmarkMembers/members=300-8 	 10	 5 ns/op	 31000 state-B
BenchmarkPlan/policy/units=10-8 	 10	 5 ns/op
PASS
`

func approxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Abs(b) }

func mustParse(t *testing.T, text string) []Measurement {
	t.Helper()
	results, err := ParseBench(strings.NewReader(text))
	is.New(t).NoErr(err)
	return results
}

// Guards against a result under a wrong name, and against skipping a malformed line,
// which would change a slope without notice.
func TestParseBench(t *testing.T) {
	is := is.New(t)
	results := mustParse(t, benchOutput)
	is.Equal(len(results), 6)
	is.Equal(results[0], Measurement{Benchmark: "Heartbeat", Values: []Value{{2000, "ns/op"}, {50, "wire-B/op"}}})
	is.Equal(results[5].Benchmark, "Plan/policy")
	is.Equal(results[5].Params, []Param{{"units", 10}})
	for _, malformed := range []string{"BenchmarkX-8 10 5 ns/op 7", "\nBenchmarkX-8 10 five ns/op"} {
		_, err := ParseBench(strings.NewReader(malformed))
		is.True(err != nil)
	}
}

// Guards against a wrong extrapolation and against a slope fitted to a single size.
func TestFitSlope(t *testing.T) {
	is := is.New(t)
	results := mustParse(t, benchOutput)
	slope, ok := FitSlope(results, Metric{"Members", "members", "state-B"})
	is.True(ok)
	is.True(approxEqual(slope.PerUnit, 100))
	is.True(approxEqual(slope.Fixed, 1000))
	is.Equal(slope.Highest, 300.0)
	is.True(approxEqual(slope.AmountAt(820), 83000))
	fixed, ok := FitSlope(results, Metric{"Heartbeat", "", "ns/op"})
	is.True(ok)
	is.Equal(fixed.Fixed, 3000.0)
	_, ok = FitSlope(results, Metric{"Plan/policy", "units", "ns/op"})
	is.True(!ok)
	_, ok = FitSlope(results, Metric{"Absent", "", "ns/op"})
	is.True(!ok)
}

// Guards against wrong cells and against a limit that is not the lowest one. At
// 4,100 daemons in 5 domains a decider handles 8,200 heartbeats/s of 3 µs and
// 50 bytes. The budget of 21 KB/s allows 420 heartbeats/s, those of 42 daemons in each
// domain or 210 in all.
func TestComputeCellsAndLimit(t *testing.T) {
	is := is.New(t)
	report := Compute(mustParse(t, benchOutput), DefaultRoles()[:1], TargetSizing(), TargetBudget())
	row := report.Rows[0]
	is.True(approxEqual(row.State.Value, 83000))
	is.True(approxEqual(row.Messages.Value, 410000))
	is.True(approxEqual(row.CPU.Value, 8200*3000))
	is.Equal(row.Limit.LimitedBy, "messages")
	is.True(approxEqual(row.Limit.Value, 210))
	is.Equal(report.Rows[1].CPU, row.CPU) // the total of one control role
}

// Guards against values without benchmark results: every cell that applies has to read
// "not measured", and the missing metrics have to be listed.
func TestTableWithoutBenchmarks(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	is.NoErr(Run(strings.NewReader("PASS\n"), &text, TargetSizing()))
	for _, line := range strings.Split(text.String(), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 9 || strings.Contains(line, "---") || strings.Contains(line, "CPU time") {
			continue
		}
		for _, cell := range cells[3:8] {
			value := strings.TrimSpace(cell)
			is.True(value == "not measured" || value == "-")
		}
	}
	is.True(strings.Contains(text.String(), "- Heartbeat wire-B/op\n"))
}

// Guards against a value for a cell that needs a quantity which is not in the sizing.
func TestTableWithIncompleteSizing(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	bench := "BenchmarkRenewal-8 10 1000 ns/op 80 wire-B/op\n"
	is.NoErr(Run(strings.NewReader(bench), &text, TargetSizing()))
	is.True(strings.Contains(text.String(), "- number of renewals/s per domain\n"))
	sizing := TargetSizing()
	sizing.BackendServers = 100
	text.Reset()
	is.NoErr(Run(strings.NewReader(bench), &text, sizing))
	is.True(strings.Contains(text.String(), "| 16 KB/s | 0.0002 cores |"))
}

// Guards against a panic or NaN in the table for unusual benchmark output.
func FuzzRun(f *testing.F) {
	f.Add(benchOutput)
	f.Add("BenchmarkMembers/members=NaN-8 1 1 state-B\nBenchmarkMembers/members=Inf-8 1 Inf state-B")
	f.Fuzz(func(t *testing.T, input string) {
		var text bytes.Buffer
		err := Run(strings.NewReader(input), &text, TargetSizing())
		if err == nil && strings.Contains(text.String(), "NaN") {
			t.Fatal(text.String())
		}
	})
}
