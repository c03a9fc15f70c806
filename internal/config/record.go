// Package config replays the stream "config" of the shared log into the resources in
// force, and appends changes to that stream. It leaves the form of a single resource
// to package resource and the storage of snapshots to package snapshot.
//
// Every VM replays the same records and reaches the same decision on each: a record
// is accepted only if every resource that it changes has the base revision named in
// the record, and if references and limits hold afterwards.
package config

import (
	"encoding/json"

	"fireflyfield/internal/resource"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Stream is the name of the stream of the shared log that holds configuration
// changes.
const Stream = "config"

// Version and limits of one record.
const (
	// RecordVersion is the newest record version that this build understands.
	RecordVersion = 1
	// MaxRecordBytes bounds the size of one encoded record in bytes.
	MaxRecordBytes = 1 << 20
	// MaxChanges bounds the number of changes in one record.
	MaxChanges = 1024

	// maxNestedLevels bounds the nesting of the CBOR data of a record or snapshot.
	maxNestedLevels = 8
)

// ErrNewerVersion means that a record or snapshot was written by a newer build. A VM
// that skipped it would decide differently from newer VMs.
var ErrNewerVersion = errors.New("written by a newer version")

// ErrMalformed means that data is not a valid record or snapshot.
var ErrMalformed = errors.New("malformed")

// Op is the operation that a change performs on a resource.
type Op uint8

// The operations.
const (
	// OpPut creates or replaces the resource.
	OpPut Op = 1
	// OpDelete deletes the resource.
	OpDelete Op = 2
)

// String returns "put" or "delete".
func (o Op) String() string {
	if o == OpDelete {
		return "delete"
	}
	return "put"
}

// Change creates, replaces or deletes one resource.
type Change struct {
	Op   Op            `cbor:"1,keyasint"`
	Kind resource.Kind `cbor:"2,keyasint"`
	Name string        `cbor:"3,keyasint"`
	// Base is the revision that the resource must have for the change to be
	// accepted; 0 if it must not exist.
	Base uint64 `cbor:"4,keyasint"`
	// Document is the resource as JSON without status and revision; empty for
	// OpDelete.
	Document []byte `cbor:"5,keyasint,omitempty"`
}

// ID returns the identifier of the resource that the change concerns.
func (c Change) ID() resource.ID { return resource.ID{Kind: c.Kind, Name: c.Name} }

// Record is one entry of the stream. Its changes are accepted or refused together.
type Record struct {
	Version uint64 `cbor:"1,keyasint"`
	// ID identifies the request; replay ignores further records with the same ID
	// within DedupWindow offsets.
	ID uuid.UUID `cbor:"2,keyasint"`
	// SeenRevision is the revision of the configuration that the submitter had read.
	// A record appended more than DedupWindow offsets later is refused, because an
	// earlier copy of it may no longer be in the dedup window.
	SeenRevision uint64   `cbor:"3,keyasint"`
	Changes      []Change `cbor:"4,keyasint"`
}

// Put returns the change that creates or replaces r at the base revision.
func Put(r resource.Resource, base uint64) (Change, error) {
	r.Metadata.Revision = 0
	r.Status = nil
	document, err := json.Marshal(r)
	if err != nil {
		return Change{}, errors.Wrapf(err, "encode %s", r.ID())
	}
	return Change{Op: OpPut, Kind: r.ID().Kind, Name: r.ID().Name, Base: base, Document: document}, nil
}

// Delete returns the change that deletes the resource at the base revision.
func Delete(id resource.ID, base uint64) Change {
	return Change{Op: OpDelete, Kind: id.Kind, Name: id.Name, Base: base}
}

// NewRecord returns a record of the current version. The parameter seenRevision
// is the revision of the configuration that the submitter had read.
func NewRecord(id uuid.UUID, seenRevision uint64, changes ...Change) Record {
	return Record{Version: RecordVersion, ID: id, SeenRevision: seenRevision, Changes: changes}
}

// Digest returns a hash of the changes that distinguishes a reused identifier from a
// repeated request. It omits the base revisions, because a client that repeats an
// accepted request may have read the new revisions.
func (r Record) Digest() uint64 {
	changes := make([]Change, len(r.Changes))
	for i, change := range r.Changes {
		change.Base = 0
		changes[i] = change
	}
	data, err := encoding.Marshal(changes)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	// headerDecoding ignores unknown fields, so that the version of newer records can
	// be read.
	headerDecoding = must(cbor.DecOptions{MaxNestedLevels: maxNestedLevels}.DecMode())
	decoding       = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNestedLevels,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the wire form of the record. The error wraps ErrMalformed if the
// record is not valid or exceeds a limit.
func Encode(record Record) ([]byte, error) {
	if err := record.validateFields(); err != nil {
		return nil, err
	}
	data, err := encoding.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Wrapf(ErrMalformed, "record has %d bytes, the limit is %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode decodes and checks the wire form of a record. The error wraps
// ErrNewerVersion or ErrMalformed.
func Decode(data []byte) (Record, error) {
	var record Record
	if err := decodeVersioned(data, RecordVersion, &record); err != nil {
		return Record{}, err
	}
	if len(data) > MaxRecordBytes {
		return Record{}, errors.Wrapf(ErrMalformed, "record has %d bytes", len(data))
	}
	if err := record.validateFields(); err != nil {
		return Record{}, err
	}
	return record, nil
}

// decodeVersioned decodes a map whose key 1 is its version into target. It fails with
// ErrNewerVersion if the version is above newest.
func decodeVersioned(data []byte, newest uint64, target any) error {
	var header struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	if err := headerDecoding.Unmarshal(data, &header); err != nil {
		return errors.Wrapf(ErrMalformed, "header: %v", err)
	}
	if header.Version > newest {
		return errors.Wrapf(ErrNewerVersion, "version %d", header.Version)
	}
	if err := decoding.Unmarshal(data, target); err != nil {
		return errors.Wrapf(ErrMalformed, "body: %v", err)
	}
	return nil
}

// validateFields checks what can be checked without the state.
func (r Record) validateFields() error {
	if r.Version != RecordVersion {
		return errors.Wrapf(ErrMalformed, "version %d", r.Version)
	}
	if r.ID == uuid.Nil {
		return errors.Wrap(ErrMalformed, "identifier is missing")
	}
	if len(r.Changes) == 0 || len(r.Changes) > MaxChanges {
		return errors.Wrapf(ErrMalformed, "%d changes, 1 to %d are allowed", len(r.Changes), MaxChanges)
	}
	for _, change := range r.Changes {
		if change.Op != OpPut && change.Op != OpDelete {
			return errors.Wrapf(ErrMalformed, "operation %d", change.Op)
		}
	}
	return nil
}
