// Package readlimit bounds the bytes that are read from a peer, so that one which sends
// without end can't exhaust the memory.
package readlimit

import (
	"io"

	"github.com/go-faster/errors"
)

// ErrExceeded is returned by reads beyond the limit.
var ErrExceeded = errors.New("read limit is exceeded")

// Reader reads from an underlying reader until Remaining bytes have been read. Its user sets
// Remaining anew for each part of a message. It is not safe for concurrent use.
type Reader struct {
	Source    io.Reader
	Remaining int64
	// Err is the error of the last read from Source. Parsers may return another one for what
	// they read before it.
	Err error
}

// Read implements io.Reader. It returns ErrExceeded once the limit is reached.
func (r *Reader) Read(p []byte) (int, error) {
	if r.Remaining <= 0 {
		return 0, ErrExceeded
	}
	if int64(len(p)) > r.Remaining {
		p = p[:r.Remaining]
	}
	var n int
	n, r.Err = r.Source.Read(p)
	r.Remaining -= int64(n)
	return n, r.Err
}
