package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key is an Idempotency-Key of a workspace.
type Key struct {
	Workspace string `cbor:"1,keyasint"`
	Value     string `cbor:"2,keyasint"`
}

// Fingerprint identifies the request that a key was first used with.
type Fingerprint [sha256.Size]byte

// NewFingerprint hashes method, target and body. The lengths are hashed too, so
// that bytes can't move from one field to another.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}

// Header is one response header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Result is a stored response.
type Result struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
}

func (r *Result) size() int {
	if r == nil {
		return 0
	}
	size := len(r.Body)
	for _, h := range r.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// Entry is the transferred form of one key. An entry without a result is an
// intent: its request may have run.
type Entry struct {
	Key         Key           `cbor:"1,keyasint"`
	Fingerprint Fingerprint   `cbor:"2,keyasint"`
	Age         time.Duration `cbor:"3,keyasint"`
	Result      *Result       `cbor:"4,keyasint,omitempty"`
}

// Change is one step of the replicated log. Exactly one field is set.
type Change struct {
	Put    *Entry `cbor:"1,keyasint,omitempty"`
	Delete *Key   `cbor:"2,keyasint,omitempty"`
	// CopyComplete says that the backup now has every entry.
	CopyComplete bool `cbor:"3,keyasint,omitempty"`
}

// Replicate carries consecutive changes from the holder to its backup.
type Replicate struct {
	Partition int    `cbor:"1,keyasint"`
	Term      uint64 `cbor:"2,keyasint"`
	// FirstSeq is the number of the first change; a term starts at 1.
	FirstSeq uint64   `cbor:"3,keyasint"`
	Changes  []Change `cbor:"4,keyasint"`
}

// Ack says that the backup has applied all changes up to Seq.
type Ack struct {
	Partition int    `cbor:"1,keyasint"`
	Term      uint64 `cbor:"2,keyasint"`
	Seq       uint64 `cbor:"3,keyasint"`
}

// Chunk is a part of the entries in a planned handover.
type Chunk struct {
	Partition int     `cbor:"1,keyasint"`
	Term      uint64  `cbor:"2,keyasint"`
	Index     int     `cbor:"3,keyasint"`
	Count     int     `cbor:"4,keyasint"`
	Entries   []Entry `cbor:"5,keyasint,omitempty"`
}
