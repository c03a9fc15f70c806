package config

import (
	"fmt"

	"fireflyfield/internal/resource"
)

// Reason is why a record was refused.
type Reason string

// The reasons.
const (
	// ReasonConflict means that the resource has another revision than the base.
	ReasonConflict Reason = "conflict"
	// ReasonInvalid means that a document is faulty.
	ReasonInvalid Reason = "invalid"
	// ReasonReference means that a resource refers to one that does not exist.
	ReasonReference Reason = "reference"
	// ReasonInUse means that another resource refers to a deleted one.
	ReasonInUse Reason = "in-use"
	// ReasonImmutable means that a field can't change after creation.
	ReasonImmutable Reason = "immutable"
	// ReasonLimit means that there are too many resources of the kind.
	ReasonLimit Reason = "limit"
	// ReasonDuplicate means that two resources claim the same digest or workspace.
	ReasonDuplicate Reason = "duplicate"
	// ReasonExpired means that the record was appended too long after the revision
	// that its author had seen.
	ReasonExpired Reason = "expired"
	// ReasonMalformed means that the record can't be decoded.
	ReasonMalformed Reason = "malformed"
)

// maxDetailBytes bounds the detail of a refusal, which is kept in the memory of
// identifiers.
const maxDetailBytes = 512

// Refusal is the first fault found in a record.
type Refusal struct {
	Reason Reason        `cbor:"1,keyasint" json:"reason"`
	Kind   resource.Kind `cbor:"2,keyasint,omitempty" json:"kind,omitempty"`
	Name   string        `cbor:"3,keyasint,omitempty" json:"name,omitempty"`
	// Base is the revision that the change named.
	Base uint64 `cbor:"4,keyasint,omitempty" json:"base,omitempty"`
	// Current is the revision that won; 0 if the resource does not exist.
	Current uint64 `cbor:"5,keyasint,omitempty" json:"current,omitempty"`
	Detail  string `cbor:"6,keyasint,omitempty" json:"detail,omitempty"`
}

// Error implements error.
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

// Outcome is the decision on the first record with an identifier.
type Outcome struct {
	// Offset of the record; the new revision of its resources if it was accepted.
	Offset uint64 `cbor:"1,keyasint"`
	// Digest of the changes.
	Digest uint64 `cbor:"2,keyasint"`
	// Refusal is nil if the record was accepted.
	Refusal *Refusal `cbor:"3,keyasint,omitempty"`
}

// Accepted reports whether the changes are in force.
func (o Outcome) Accepted() bool { return o.Refusal == nil }

// Result is what replay did with one record.
type Result struct {
	// Stale means that the offset was at or below the position; nothing was done.
	Stale bool
	// Duplicate means that an earlier record has the same identifier; Outcome is
	// that record's.
	Duplicate bool
	Outcome   Outcome
}
