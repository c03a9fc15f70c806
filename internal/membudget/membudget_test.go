package membudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// TestReadAll guards against a body that is cut short but looks complete, and against memory
// that is not returned after an error.
func TestReadAll(t *testing.T) {
	const total = 256 << 10
	content := strings.Repeat("x", 100_000)
	for name, test := range map[string]struct {
		reader io.Reader
		length int64
		want   int
		err    error
	}{
		"known length":              {strings.NewReader(content), 100_000, 100_000, nil},
		"unknown length":            {strings.NewReader(content), -1, 100_000, nil},
		"one byte at a time":        {iotest.OneByteReader(strings.NewReader(content)), -1, 100_000, nil},
		"empty":                     {strings.NewReader(""), 0, 0, nil},
		"empty of unknown length":   {strings.NewReader(""), -1, 0, nil},
		"too short":                 {strings.NewReader("abc"), 4, 0, io.ErrUnexpectedEOF},
		"broken off":                {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 0, io.ErrUnexpectedEOF},
		"stated length too large":   {strings.NewReader(content), 100_001, 0, ErrTooLarge},
		"unknown length, too large": {strings.NewReader(content + "x"), -1, 0, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := New(total)
			body, reserved, err := b.ReadAll(test.reader, test.length, 100_000)
			is.True(errors.Is(err, test.err))
			is.Equal(len(body), test.want)
			is.True(reserved >= int64(len(body)))
			b.Release(reserved)
			is.True(b.reserve(total)) // nothing is left reserved
		})
	}
}

// endless is a body that never ends.
type endless struct{ read int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.read += int64(len(p))
	return len(p), nil
}

// TestExhausted guards against bodies that together hold more than the budget, whatever
// length they state.
func TestExhausted(t *testing.T) {
	is := is.New(t)
	b := New(100_000)
	_, first, err := b.ReadAll(bytes.NewReader(make([]byte, 60_000)), 60_000, 1<<20)
	is.NoErr(err)
	_, _, err = b.ReadAll(bytes.NewReader(make([]byte, 60_000)), 60_000, 1<<20)
	is.True(errors.Is(err, ErrExhausted))
	source := &endless{}
	_, _, err = b.ReadAll(source, -1, 1<<30)
	is.True(errors.Is(err, ErrExhausted))
	is.True(source.read <= 40_000)
	b.Release(first)
	_, _, err = b.ReadAll(bytes.NewReader(make([]byte, 60_000)), 60_000, 1<<20)
	is.NoErr(err)
}
