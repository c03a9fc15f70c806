// Package ownership decides which backend server owns each key and which VM has
// each role of a failure domain: it defines the records of the domain and homes
// streams, their replay, the table that routers read, and the state machine of one
// VM. It leaves all I/O to its caller, and the choice of a backend server for a unit
// to package placement.
package ownership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fireflyfield/internal/keyspace"
)

// Limits of one record.
const (
	// MaxRecordBytes is the maximum size of an encoded record in bytes; with
	// MaxRecordUnits it bounds the memory that decoding takes.
	MaxRecordBytes = 64 << 10
	// MaxRecordUnits is the maximum length of each list in a record. A CBOR unit
	// takes at most 9 bytes, so a full assign record stays below MaxRecordBytes.
	MaxRecordUnits = 4096
	// MaxNameBytes is the maximum length in bytes of the name of a VM, instance,
	// service, failure domain or backend server.
	MaxNameBytes = 256
)

// RecordID identifies a record; replay drops a record whose identifier it has seen.
type RecordID [16]byte

// Record is one record of a domain stream or of the homes stream. Exactly one of
// the pointers is set.
type Record struct {
	ID          RecordID      `cbor:"1,keyasint"`
	Claim       *Claim        `cbor:"2,keyasint,omitempty"`
	Join        *Join         `cbor:"3,keyasint,omitempty"`
	Admit       *Admit        `cbor:"4,keyasint,omitempty"`
	Remove      *Remove       `cbor:"5,keyasint,omitempty"`
	MemberEpoch *MemberEpoch  `cbor:"6,keyasint,omitempty"`
	Assign      *Assign       `cbor:"7,keyasint,omitempty"`
	Release     *Release      `cbor:"8,keyasint,omitempty"`
	Handoff     *Handoff      `cbor:"9,keyasint,omitempty"`
	Hot         *HotKeyChange `cbor:"10,keyasint,omitempty"`
	Init        *Init         `cbor:"11,keyasint,omitempty"`
	Home        *Home         `cbor:"12,keyasint,omitempty"`
	Pairs       *Pairs        `cbor:"13,keyasint,omitempty"`
}

// Member identifies one process of a VM. A restarted VM has another instance and is
// therefore another member, because it has forgotten its promises.
type Member struct {
	VM       string `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
}

// Claim asks to become the decider of a new term. It is accepted if Previous is the
// current term and the claimant is a member or the failure domain has no members.
type Claim struct {
	Member   Member `cbor:"1,keyasint"`
	Previous Term   `cbor:"2,keyasint"`
}

// Join asks the decider to admit a process as a member.
type Join struct {
	Member Member `cbor:"1,keyasint"`
}

// Admit makes a process that asked to join a member. It replaces another instance
// of the same VM.
type Admit struct {
	Term   Term   `cbor:"1,keyasint"`
	Member Member `cbor:"2,keyasint"`
}

// Remove removes a process from the members.
type Remove struct {
	Term   Term   `cbor:"1,keyasint"`
	Member Member `cbor:"2,keyasint"`
}

// MemberEpoch empties the set of members. It is accepted only if Epoch is higher than
// the current one.
type MemberEpoch struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// Assign assigns units to one backend server under the fencing token (Term, Counter).
type Assign struct {
	Term    Term            `cbor:"1,keyasint"`
	Service string          `cbor:"2,keyasint"`
	Server  string          `cbor:"3,keyasint"`
	Counter uint64          `cbor:"4,keyasint"`
	Units   []keyspace.Unit `cbor:"5,keyasint"`
}

// Release gives up slices in favour of the failure domain To. It is final: no later
// decider of this domain assigns a slice whose home epoch is not above Epoch.
type Release struct {
	Term    Term            `cbor:"1,keyasint"`
	Service string          `cbor:"2,keyasint"`
	To      string          `cbor:"3,keyasint"`
	Epoch   uint64          `cbor:"4,keyasint"`
	Slices  []keyspace.Unit `cbor:"5,keyasint"`
}

// Handoff makes the member To the decider of a new term.
type Handoff struct {
	Term Term   `cbor:"1,keyasint"`
	To   Member `cbor:"2,keyasint"`
}

// HotKeyChange adds hot keys to the set of hot keys of a service (Split) and removes
// others from it, so that they belong to their slice again (Merge).
type HotKeyChange struct {
	Term    Term            `cbor:"1,keyasint"`
	Service string          `cbor:"2,keyasint"`
	Split   []keyspace.Unit `cbor:"3,keyasint,omitempty"`
	Merge   []keyspace.Unit `cbor:"4,keyasint,omitempty"`
}

// Init assigns the slices of a service to failure domains for the first time.
// Slice i belongs to Domains[i mod len(Domains)]; a domain that is listed more than
// once gets proportionally more slices.
type Init struct {
	Service string   `cbor:"1,keyasint"`
	Slices  uint32   `cbor:"2,keyasint"`
	Domains []string `cbor:"3,keyasint"`
}

// Home moves slices to the failure domain To. It is accepted for each slice whose
// current home epoch is Epoch, and raises that epoch by one.
type Home struct {
	Service string          `cbor:"1,keyasint"`
	To      string          `cbor:"2,keyasint"`
	Epoch   uint64          `cbor:"3,keyasint"`
	Slices  []keyspace.Unit `cbor:"4,keyasint"`
}

// ErrRecord is wrapped by every error about an invalid record or snapshot.
var ErrRecord = errors.New("invalid ownership record")

var (
	recordEncoding = must(cbor.CoreDetEncOptions().EncMode())
	recordDecoding = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: MaxRecordUnits,
		MaxMapPairs:      16,
		MaxNestedLevels:  8,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode validates the record and returns its CBOR encoding.
func (r Record) Encode() ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	data, err := recordEncoding.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode ownership record")
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Wrapf(ErrRecord, "record of %d bytes, limit %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// DecodeRecord decodes and validates one record.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, errors.Wrapf(ErrRecord, "record of %d bytes, limit %d", len(data), MaxRecordBytes)
	}
	var record Record
	if err := recordDecoding.Unmarshal(data, &record); err != nil {
		return Record{}, errors.Wrapf(ErrRecord, "decode CBOR: %v", err)
	}
	if err := record.validate(); err != nil {
		return Record{}, err
	}
	return record, nil
}
