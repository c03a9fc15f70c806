// Package snapshot stores snapshots of replayed states in the stream "snapshots" of
// the shared log and decides when the next one is due. It leaves the encoding of a
// state to its owner.
//
// A snapshot is split into chunks, each of them one record of the stream. The name in
// each chunk identifies the state to which it belongs.
package snapshot

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Stream is the name of the stream of the shared log that holds the snapshots of all
// states.
const Stream = "snapshots"

// Limits of a snapshot.
const (
	// ChunkBytes bounds the snapshot data in one record.
	ChunkBytes = 64 << 10
	// MaxBytes bounds the data of a whole snapshot.
	MaxBytes = 64 << 20
	// MaxNameBytes bounds the name of a state.
	MaxNameBytes = 128

	chunkVersion = 1
	maxChunks    = MaxBytes / ChunkBytes
	// maxChunkBytes bounds an encoded chunk, including its other fields.
	maxChunkBytes = ChunkBytes + 1024
)

// ErrMalformed means that a record is not a valid chunk of a snapshot.
var ErrMalformed = errors.New("malformed snapshot chunk")

// Header describes a snapshot. Every chunk repeats it.
type Header struct {
	// Name is the name of the state, such as "config" or "domain.plateau".
	Name string
	// ID distinguishes the snapshots of one state.
	ID uuid.UUID
	// Position is the offset of the last record that the state includes.
	Position uint64
	// CreatedMillis is the time of creation in Unix ms, by the clock of the writer.
	CreatedMillis int64
}

// newerThan compares by position and then by time of creation, so that a snapshot
// that was written again at the same position because of its age is the newer one.
func (h Header) newerThan(other Header) bool {
	if h.Position != other.Position {
		return h.Position > other.Position
	}
	return h.CreatedMillis > other.CreatedMillis
}

// Snapshot is a complete snapshot: its header and the encoded state.
type Snapshot struct {
	Header
	Data []byte
}

// chunk is the wire form of one record of the stream.
type chunk struct {
	Version       uint64    `cbor:"1,keyasint"`
	Name          string    `cbor:"2,keyasint"`
	ID            uuid.UUID `cbor:"3,keyasint"`
	Position      uint64    `cbor:"4,keyasint"`
	CreatedMillis int64     `cbor:"5,keyasint"`
	// Index is the number of the chunk, from 0 to Count-1.
	Index uint32 `cbor:"6,keyasint"`
	Count uint32 `cbor:"7,keyasint"`
	// Checksum is the xxhash64 of the data of the whole snapshot.
	Checksum uint64 `cbor:"8,keyasint"`
	Data     []byte `cbor:"9,keyasint"`
}

func (c chunk) header() Header {
	return Header{Name: c.Name, ID: c.ID, Position: c.Position, CreatedMillis: c.CreatedMillis}
}

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   4,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the records of a snapshot, to be appended in order. It fails if the
// snapshot exceeds a limit or has no name or identifier.
func Encode(s Snapshot) ([][]byte, error) {
	if s.Name == "" || len(s.Name) > MaxNameBytes {
		return nil, errors.Errorf("snapshot name %q must have 1 to %d bytes", s.Name, MaxNameBytes)
	}
	if s.ID == uuid.Nil {
		return nil, errors.New("snapshot identifier is missing")
	}
	if len(s.Data) > MaxBytes {
		return nil, errors.Errorf("snapshot of %s has %d bytes, the limit is %d", s.Name, len(s.Data), MaxBytes)
	}
	count := max(1, (len(s.Data)+ChunkBytes-1)/ChunkBytes)
	checksum := xxhash.Sum64(s.Data)
	records := make([][]byte, 0, count)
	for i := range count {
		data := s.Data[i*ChunkBytes : min((i+1)*ChunkBytes, len(s.Data))]
		record, err := encoding.Marshal(chunk{
			Version: chunkVersion, Name: s.Name, ID: s.ID, Position: s.Position, CreatedMillis: s.CreatedMillis,
			Index: uint32(i), Count: uint32(count), Checksum: checksum, Data: data,
		})
		if err != nil {
			return nil, errors.Wrapf(err, "encode snapshot of %s", s.Name)
		}
		records = append(records, record)
	}
	return records, nil
}

// decodeChunk decodes and checks one record of the stream. The error wraps
// ErrMalformed.
func decodeChunk(data []byte) (chunk, error) {
	var c chunk
	if len(data) > maxChunkBytes {
		return c, errors.Wrapf(ErrMalformed, "record of %d bytes is too large", len(data))
	}
	if err := decoding.Unmarshal(data, &c); err != nil {
		return c, errors.Wrapf(ErrMalformed, "decode chunk: %v", err)
	}
	valid := c.Version == chunkVersion && c.Name != "" && len(c.Name) <= MaxNameBytes && c.ID != uuid.Nil &&
		c.Count >= 1 && c.Count <= maxChunks && c.Index < c.Count && len(c.Data) <= ChunkBytes
	if !valid {
		return c, errors.Wrap(ErrMalformed, "unknown version or a field is out of range")
	}
	return c, nil
}
