package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key identifies an idempotency key: the value of the header Idempotency-Key within a
// workspace.
type Key struct {
	Workspace string `cbor:"1,keyasint"`
	Value     string `cbor:"2,keyasint"`
}

// Fingerprint is a hash of the request that a key was first used with.
type Fingerprint [sha256.Size]byte

// NewFingerprint hashes the method, target and body of a request. It hashes their
// lengths too, so that requests that differ only in the boundaries between the parts
// have different fingerprints.
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

// Header is one field of a response header.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Result is the stored response to a request.
type Result struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
}

// size returns the length of body and headers in bytes.
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

// Entry is the form in which the state of one key is sent to another VM. An entry
// without a Result is an intent: its request may have run.
type Entry struct {
	Key         Key         `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	// Age is the time since the run began or ended.
	Age    time.Duration `cbor:"3,keyasint"`
	Result *Result       `cbor:"4,keyasint,omitempty"`
}

// Change is one change in the log that the holder replicates to its backup. Exactly
// one field is set.
type Change struct {
	Put    *Entry `cbor:"1,keyasint,omitempty"`
	Delete *Key   `cbor:"2,keyasint,omitempty"`
	// CopyComplete tells the backup that it has every entry now.
	CopyComplete bool `cbor:"3,keyasint,omitempty"`
}

// Replicate is a message with consecutive changes from the holder to its backup.
type Replicate struct {
	Partition int    `cbor:"1,keyasint"`
	Term      uint64 `cbor:"2,keyasint"`
	// FirstSeq is the sequence number of the first change. It starts at 1 in each
	// term.
	FirstSeq uint64   `cbor:"3,keyasint"`
	Changes  []Change `cbor:"4,keyasint"`
}

// Ack is the message that the backup has applied all changes up to Seq.
type Ack struct {
	Partition int    `cbor:"1,keyasint"`
	Term      uint64 `cbor:"2,keyasint"`
	Seq       uint64 `cbor:"3,keyasint"`
}

// Chunk is one of Count parts of the entries that a planned handover transfers.
type Chunk struct {
	Partition int     `cbor:"1,keyasint"`
	Term      uint64  `cbor:"2,keyasint"`
	Index     int     `cbor:"3,keyasint"`
	Count     int     `cbor:"4,keyasint"`
	Entries   []Entry `cbor:"5,keyasint,omitempty"`
}
