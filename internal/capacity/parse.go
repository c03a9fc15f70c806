// Package capacity extrapolates benchmark results to the target size of the design and
// writes the capacity table. It contains no costs of its own, which the benchmarks of
// other packages measure: a cell whose benchmark is missing reads "not measured".
package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxLineBytes is the maximum length of a line of benchmark output.
const maxLineBytes = 1 << 20

// Param is one numeric "name=value" part of a benchmark name, such as units=1000.
type Param struct {
	Name  string
	Value float64
}

// Value is one result column, such as 12.5 ns/op.
type Value struct {
	Amount float64
	Unit   string
}

// Measurement is one result line of `go test -bench`.
type Measurement struct {
	// Benchmark is the name without the prefix "Benchmark", the parameters and the
	// GOMAXPROCS suffix.
	Benchmark string
	Params    []Param
	Values    []Value
}

func (m Measurement) param(name string) (float64, bool) {
	for _, p := range m.Params {
		if p.Name == name {
			return p.Value, true
		}
	}
	return 0, false
}

func (m Measurement) value(unit string) (float64, bool) {
	for _, v := range m.Values {
		if v.Unit == unit {
			return v.Amount, true
		}
	}
	return 0, false
}

// ParseBench reads the output of `go test -bench`. It skips lines that are not results,
// such as log lines. For a malformed result line it returns an error with the line
// number.
func ParseBench(input io.Reader) ([]Measurement, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	var list []Measurement
	for number := 1; scanner.Scan(); number++ {
		fields := strings.Fields(scanner.Text())
		if !isResult(fields) {
			continue
		}
		m, err := parseResult(fields)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		list = append(list, m)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read benchmark output")
	}
	return list, nil
}

// isResult distinguishes a result from a log line and from the line with only the name
// that `go test -v` prints before the result.
func isResult(fields []string) bool {
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return false
	}
	_, err := strconv.ParseUint(fields[1], 10, 64)
	return err == nil
}

// procsSuffix matches the GOMAXPROCS suffix of a benchmark name.
var procsSuffix = regexp.MustCompile(`-\d+$`)

// parseResult parses the fields of a result line.
func parseResult(fields []string) (Measurement, error) {
	name := procsSuffix.ReplaceAllString(strings.TrimPrefix(fields[0], "Benchmark"), "")
	m := Measurement{}
	var names []string
	for _, part := range strings.Split(name, "/") {
		key, text, found := strings.Cut(part, "=")
		value, err := parseNumber(text)
		if !found || err != nil {
			names = append(names, part)
			continue
		}
		m.Params = append(m.Params, Param{key, value})
	}
	m.Benchmark = strings.Join(names, "/")
	return m, m.parseValues(fields[2:])
}

// maxNumber is the largest accepted size or amount. No benchmark reaches it, and sums
// of squares of much larger numbers would overflow in a fit.
const maxNumber = 1e18

// parseNumber parses a number from 0 to maxNumber.
func parseNumber(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	// The comparison is also false for NaN.
	if err != nil || !(value >= 0 && value <= maxNumber) {
		return 0, errors.Errorf("%q is not a number from 0 to %g", text, maxNumber)
	}
	return value, nil
}

// parseValues parses the alternating amounts and units of a result line.
func (m *Measurement) parseValues(fields []string) error {
	if len(fields)%2 != 0 {
		return errors.Errorf("benchmark %s: a value has no unit", m.Benchmark)
	}
	for i := 0; i < len(fields); i += 2 {
		amount, err := parseNumber(fields[i])
		if err != nil {
			return errors.Wrapf(err, "benchmark %s", m.Benchmark)
		}
		m.Values = append(m.Values, Value{amount, fields[i+1]})
	}
	return nil
}
