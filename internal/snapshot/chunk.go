// Package snapshot is the container for snapshots in the stream "snapshots". A
// snapshot is cut into chunks, each a record of the stream; the name tells which
// state it belongs to.
package snapshot

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Stream is the name of the log stream that holds the snapshots of every state.
const Stream = "snapshots"

// Limits of a snapshot.
const (
	// ChunkBytes is the payload of one record.
	ChunkBytes = 64 << 10
	// MaxBytes bounds a whole snapshot.
	MaxBytes = 64 << 20
	// MaxNameBytes bounds the name of a state.
	MaxNameBytes = 128

	chunkVersion  = 1
	maxChunks     = MaxBytes / ChunkBytes
	maxChunkBytes = ChunkBytes + 1024
)

// ErrMalformed means that data is no valid chunk.
var ErrMalformed = errors.New("malformed snapshot chunk")

// Header is what every chunk repeats.
type Header struct {
	// Name of the state, such as "config" or "domain.plateau".
	Name string
	// ID tells the snapshots of one name apart.
	ID uuid.UUID
	// Position is the offset of the last record that the state includes.
	Position uint64
	// CreatedMillis is the Unix time in ms on the writer's clock.
	CreatedMillis int64
}

// newerThan orders by position and then by time of creation, so that a snapshot
// that was written again because of its age counts as newer.
func (h Header) newerThan(other Header) bool {
	if h.Position != other.Position {
		return h.Position > other.Position
	}
	return h.CreatedMillis > other.CreatedMillis
}

// Snapshot is a complete snapshot.
type Snapshot struct {
	Header
	Data []byte
}

// chunk is the wire form of one record.
type chunk struct {
	Version       uint64    `cbor:"1,keyasint"`
	Name          string    `cbor:"2,keyasint"`
	ID            uuid.UUID `cbor:"3,keyasint"`
	Position      uint64    `cbor:"4,keyasint"`
	CreatedMillis int64     `cbor:"5,keyasint"`
	Index         uint32    `cbor:"6,keyasint"`
	Count         uint32    `cbor:"7,keyasint"`
	// Checksum is the xxhash64 of the whole snapshot.
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

// Encode cuts a snapshot into records, to be appended in order.
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
		part := s.Data[i*ChunkBytes : min((i+1)*ChunkBytes, len(s.Data))]
		record, err := encoding.Marshal(chunk{
			Version: chunkVersion, Name: s.Name, ID: s.ID, Position: s.Position, CreatedMillis: s.CreatedMillis,
			Index: uint32(i), Count: uint32(count), Checksum: checksum, Data: part,
		})
		if err != nil {
			return nil, errors.Wrapf(err, "encode snapshot of %s", s.Name)
		}
		records = append(records, record)
	}
	return records, nil
}

func decodeChunk(data []byte) (chunk, error) {
	var c chunk
	if len(data) > maxChunkBytes {
		return c, errors.Wrapf(ErrMalformed, "%d bytes", len(data))
	}
	if err := decoding.Unmarshal(data, &c); err != nil {
		return c, errors.Wrapf(ErrMalformed, "%v", err)
	}
	valid := c.Version == chunkVersion && c.Name != "" && len(c.Name) <= MaxNameBytes && c.ID != uuid.Nil &&
		c.Count >= 1 && c.Count <= maxChunks && c.Index < c.Count && len(c.Data) <= ChunkBytes
	if !valid {
		return c, errors.Wrap(ErrMalformed, "field out of range")
	}
	return c, nil
}
