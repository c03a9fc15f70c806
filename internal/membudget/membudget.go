// Package membudget bounds the memory that the bodies of all requests and responses of a
// process hold together. Without it, many large bodies at once end a small VM, and with it
// all requests that are in progress there.
package membudget

import (
	"io"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"
)

// ErrExhausted reports that a body was not read because no memory is left for it.
var ErrExhausted = errors.New("no memory is left for the body")

// ErrTooLarge reports a body that is larger than its limit.
var ErrTooLarge = errors.New("body is too large")

// firstStep is the memory that is reserved for a body of unknown length at first, in bytes.
// Each further step is as large as all before it.
const firstStep = 16 << 10

// Budget is a number of bytes that the bodies of a process may hold. It is safe for
// concurrent use. A nil Budget has no limit.
type Budget struct{ free *semaphore.Weighted }

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget { return &Budget{free: semaphore.NewWeighted(bytes)} }

// reserve takes n bytes from the budget and reports whether they were left.
func (b *Budget) reserve(n int64) bool { return b == nil || b.free.TryAcquire(n) }

// Release returns bytes to the budget.
func (b *Budget) Release(n int64) {
	if b != nil && n > 0 {
		b.free.Release(n)
	}
}

// ReadAll reads a body of at most limit bytes. length is its stated length, or negative if
// it states none. It returns the number of bytes that the caller has to release when it no
// longer needs the body, which is 0 after an error. The errors are ErrExhausted, ErrTooLarge
// or that of the reader.
func (b *Budget) ReadAll(r io.Reader, length, limit int64) (body []byte, reserved int64, err error) {
	if length > limit {
		return nil, 0, ErrTooLarge
	}
	defer func() {
		if err != nil {
			b.Release(reserved)
			body, reserved = nil, 0
		}
	}()
	step := min(firstStep, limit+1)
	if length >= 0 {
		step = length
	}
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			if !b.reserve(step) {
				return nil, reserved, ErrExhausted
			}
			reserved += step
			body = append(make([]byte, 0, int64(len(body))+step), body...)
			step = int64(cap(body))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, reserved, ErrTooLarge
		case err == io.EOF && int64(len(body)) < length:
			return nil, reserved, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, reserved, nil
		case err != nil:
			return nil, reserved, err
		}
	}
	return body, reserved, nil
}
