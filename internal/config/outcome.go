package config

import (
	"fmt"

	"fireflyfield/internal/resource"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons for refusing a record.
const (
	// ReasonConflict means that the revision of a resource differs from the base
	// revision that the change names.
	ReasonConflict Reason = "conflict"
	// ReasonInvalid means that a change or its document is not valid.
	ReasonInvalid Reason = "invalid"
	// ReasonReference means that a resource refers to one that does not exist.
	ReasonReference Reason = "reference"
	// ReasonInUse means that another resource refers to something that the record
	// removes.
	ReasonInUse Reason = "in-use"
	// ReasonImmutable means that a field can't change in that way after creation.
	ReasonImmutable Reason = "immutable"
	// ReasonLimit means that there would be too many resources of the kind, or too
	// many bytes in all documents together.
	ReasonLimit Reason = "limit"
	// ReasonDuplicate means that two caller keys have the same digest, or two rates
	// the same workspace.
	ReasonDuplicate Reason = "duplicate"
	// ReasonExpired means that the record was appended too many offsets after the
	// revision that its submitter had seen, or at or before that revision.
	ReasonExpired Reason = "expired"
	// ReasonMalformed means that the record can't be decoded.
	ReasonMalformed Reason = "malformed"
)

// maxDetailBytes bounds the detail of a refusal, because the outcomes in the dedup
// window are kept in memory and in snapshots.
const maxDetailBytes = 512

// Refusal describes the first fault that was found in a refused record.
type Refusal struct {
	Reason Reason        `cbor:"1,keyasint" json:"reason"`
	Kind   resource.Kind `cbor:"2,keyasint,omitempty" json:"kind,omitempty"`
	Name   string        `cbor:"3,keyasint,omitempty" json:"name,omitempty"`
	// Base is the base revision that the change named; set only for ReasonConflict.
	Base uint64 `cbor:"4,keyasint,omitempty" json:"base,omitempty"`
	// Current is the revision that the resource has; set only for ReasonConflict, and 0
	// if the resource does not exist.
	Current uint64 `cbor:"5,keyasint,omitempty" json:"current,omitempty"`
	Detail  string `cbor:"6,keyasint,omitempty" json:"detail,omitempty"`
}

// Error returns the detail, preceded by the resource if the refusal concerns one.
func (r *Refusal) Error() string {
	subject := ""
	if r.Kind != "" {
		subject = string(r.Kind) + "/" + r.Name + ": "
	}
	return subject + r.Detail
}

func refuse(reason Reason, id resource.ID, format string, args ...any) *Refusal {
	detail := fmt.Sprintf(format, args...)
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	return &Refusal{Reason: reason, Kind: id.Kind, Name: id.Name, Detail: detail}
}

func conflict(change Change, current uint64) *Refusal {
	refusal := refuse(ReasonConflict, change.ID(), "base revision %d, but the revision in force is %d", change.Base, current)
	if current == 0 {
		refusal.Detail = fmt.Sprintf("base revision %d, but the resource does not exist", change.Base)
	}
	refusal.Base = change.Base
	refusal.Current = current
	return refusal
}

// Outcome is the decision on a record: accepted or refused. It holds for all records
// with the same identifier and is made at the first of them.
type Outcome struct {
	// Offset is the offset of the record. If the record was accepted, it is the new
	// revision of the changed resources.
	Offset uint64 `cbor:"1,keyasint"`
	// Digest is the result of Record.Digest.
	Digest uint64 `cbor:"2,keyasint"`
	// Refusal is nil if the record was accepted.
	Refusal *Refusal `cbor:"3,keyasint,omitempty"`
}

// Accepted reports whether the changes took effect.
func (o Outcome) Accepted() bool { return o.Refusal == nil }

// Result describes what the replay of one record did.
type Result struct {
	// Stale means that the offset was at or below the position, so that the record
	// was ignored.
	Stale bool
	// Duplicate means that an earlier record in the dedup window has the same
	// identifier. Outcome is then the outcome of that record.
	Duplicate bool
	Outcome   Outcome
}
