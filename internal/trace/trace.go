// Package trace records the actions of VMs and backend server stand-ins as typed
// events in JSON lines, validates such files when it reads them and merges several by
// time; it leaves the interpretation of events to its users, such as package check. The
// format is described in docs/trace-format.md. A trace contains no secrets: caller keys
// occur only as SHA-256 digests, and idempotency keys and bodies only as hashes.
package trace

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Version is the format version that this package writes and reads.
const Version = 1

// Type is the name of an event type in the file.
type Type string

// Body holds the fields of an event that depend on its type.
type Body interface {
	// Type returns the name under which the body is written.
	Type() Type
	// validate returns an error for a body that must not be written or accepted.
	validate() error
}

// Event is one event of a trace, written as one line.
type Event struct {
	// Time is in nanoseconds since the Unix epoch, by the recorder's clock.
	Time int64
	// VM is the name of the recorder: a VM, a backend server stand-in, a platform
	// stand-in or a driver.
	VM string
	// Seq numbers the events of a recording from 1; a gap shows dropped events.
	Seq  uint64
	Body Body
}

// encodedLine is the JSON form of an event for encoding.
type encodedLine struct {
	Time int64  `json:"time"`
	VM   string `json:"vm"`
	Seq  uint64 `json:"seq"`
	Type Type   `json:"type"`
	Body Body   `json:"body"`
}

// decodedLine is the JSON form of an event for decoding. The body is decoded once its
// type is known.
type decodedLine struct {
	Time int64           `json:"time"`
	VM   string          `json:"vm"`
	Seq  uint64          `json:"seq"`
	Type Type            `json:"type"`
	Body json.RawMessage `json:"body"`
}

// Maximum lengths of fields, in bytes. They bound the size of an event in memory and
// in a file.
const (
	maxNameBytes = 256
	maxPathBytes = 8 << 10
)

// When returns Time as a time.Time.
func (e Event) When() time.Time { return time.Unix(0, e.Time) }

// MarshalJSON encodes the event as one line without the line break.
func (e Event) MarshalJSON() ([]byte, error) {
	if err := e.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(encodedLine{Time: e.Time, VM: e.VM, Seq: e.Seq, Type: e.Body.Type(), Body: e.Body})
}

// UnmarshalJSON decodes one line. It returns an error for unknown fields and types.
func (e *Event) UnmarshalJSON(data []byte) error {
	var wire decodedLine
	if err := strictDecode(data, &wire); err != nil {
		return err
	}
	body, err := decodeBody(wire.Type, wire.Body)
	if err != nil {
		return err
	}
	decoded := Event{Time: wire.Time, VM: wire.VM, Seq: wire.Seq, Body: body}
	if err := decoded.validate(); err != nil {
		return err
	}
	*e = decoded
	return nil
}

func (e Event) validate() error {
	if e.Body == nil {
		return errors.New("event has no body")
	}
	if e.Seq == 0 {
		return errors.New("sequence number is missing")
	}
	if err := requireName("vm", e.VM); err != nil {
		return err
	}
	return wrapf(e.Body.validate(), "%s", e.Body.Type())
}

// strictDecode decodes a single JSON value and rejects unknown fields.
func strictDecode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("line contains more than one JSON value")
	}
	return nil
}

// decodeAs decodes a body of type T.
func decodeAs[T Body](data []byte) (Body, error) {
	var body T
	err := strictDecode(data, &body)
	return body, wrapf(err, "decode %s", body.Type())
}

// bodyDecoders maps every event type to the decoder of its body.
var bodyDecoders = map[Type]func([]byte) (Body, error){
	TypeHeader:            decodeAs[Header],
	TypeEnd:               decodeAs[End],
	TypeRequest:           decodeAs[Request],
	TypeAdmitted:          decodeAs[Admitted],
	TypeAttempt:           decodeAs[Attempt],
	TypeAttemptOutcome:    decodeAs[AttemptOutcome],
	TypeAnswer:            decodeAs[Answer],
	TypeRunStart:          decodeAs[RunStart],
	TypeRunEnd:            decodeAs[RunEnd],
	TypeRunRefused:        decodeAs[RunRefused],
	TypeGrant:             decodeAs[Grant],
	TypeRenew:             decodeAs[Renew],
	TypeRevoke:            decodeAs[Revoke],
	TypeLapse:             decodeAs[Lapse],
	TypeServerState:       decodeAs[ServerState],
	TypeLeave:             decodeAs[Leave],
	TypeCallerKey:         decodeAs[CallerKey],
	TypeCallerKeyWithdraw: decodeAs[CallerKeyWithdraw],
	TypeRate:              decodeAs[Rate],
	TypeConfigAccepted:    decodeAs[ConfigAccepted],
	TypeConfigInForce:     decodeAs[ConfigInForce],
	TypeStop:              decodeAs[Stop],
	TypeFault:             decodeAs[Fault],
}

func decodeBody(kind Type, data []byte) (Body, error) {
	decode, ok := bodyDecoders[kind]
	if !ok {
		return nil, errors.Errorf("unknown event type %q", kind)
	}
	return decode(data)
}
