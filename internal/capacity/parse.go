// Package capacity extrapolates benchmark results to the target size of the design
// and prints the capacity table. It contains no figures of its own: a cell whose
// benchmark is missing says "not measured".
package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxLineBytes bounds one line of benchmark output.
const maxLineBytes = 1 << 20

// Param is one "name=value" part of a benchmark's name.
type Param struct {
	Name  string
	Value float64
}

// Value is one measured column, such as 12.5 ns/op.
type Value struct {
	Amount float64
	Unit   string
}

// Measurement is one result line of `go test -bench`.
type Measurement struct {
	// Benchmark is the name without "Benchmark", parameters and GOMAXPROCS.
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

// ParseBench reads the output of `go test -bench`. Lines that are not results are
// skipped, since the output holds others as well; a damaged result line is an
// error with its number.
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

// isResult tells a result from a log line or the name alone, which `go test -v`
// prints before the result.
func isResult(fields []string) bool {
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return false
	}
	_, err := strconv.ParseUint(fields[1], 10, 64)
	return err == nil
}

var procsSuffix = regexp.MustCompile(`-\d+$`)

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

// maxNumber bounds sizes and amounts. No benchmark reaches it, and sums of squares
// of larger ones would overflow in a fit.
const maxNumber = 1e18

func parseNumber(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	// The comparison is also false for NaN.
	if err != nil || !(value >= 0 && value <= maxNumber) {
		return 0, errors.Errorf("%q is not a number from 0 to %g", text, maxNumber)
	}
	return value, nil
}

func (m *Measurement) parseValues(fields []string) error {
	if len(fields)%2 != 0 {
		return errors.Errorf("benchmark %s: a value lacks its unit", m.Benchmark)
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
