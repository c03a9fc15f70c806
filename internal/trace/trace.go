// Package trace records what VMs and backend server stand-ins do as typed events
// in JSON lines, reads such files strictly and merges several by time. The format
// is described in docs/trace-format.md. A trace holds no secret: caller keys occur
// only as SHA-256 digests, and idempotency keys and bodies only as hashes.
package trace

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Version is the format version that this package writes and reads.
const Version = 1

// Type names the kind of an event in the file.
type Type string

// Body is the part of an event that depends on its type.
type Body interface {
	// Type returns the name under which the body is written.
	Type() Type
	// validate reports a body that may be neither written nor read.
	validate() error
}

// Event is one line of a trace.
type Event struct {
	// Time is in nanoseconds since the Unix epoch, by the recorder's clock.
	Time int64
	// VM names the recorder: a VM, or a backend server or platform stand-in.
	VM string
	// Seq counts the events of one recording from 1; a gap shows dropped events.
	Seq  uint64
	Body Body
}

// encodedLine is the wire form of an event for writing.
type encodedLine struct {
	Time int64  `json:"time"`
	VM   string `json:"vm"`
	Seq  uint64 `json:"seq"`
	Type Type   `json:"type"`
	Body Body   `json:"body"`
}

// line is the wire form of an event for reading, before the type of the body is
// known.
type line struct {
	Time int64           `json:"time"`
	VM   string          `json:"vm"`
	Seq  uint64          `json:"seq"`
	Type Type            `json:"type"`
	Body json.RawMessage `json:"body"`
}

// Limits of single fields, in bytes. They bound what one event can take in memory
// and in a file.
const (
	maxNameBytes = 256
	maxPathBytes = 8 << 10
)

// When returns the time of the event.
func (e Event) When() time.Time { return time.Unix(0, e.Time) }

// MarshalJSON encodes the event as one line without the line break.
func (e Event) MarshalJSON() ([]byte, error) {
	if err := e.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(encodedLine{Time: e.Time, VM: e.VM, Seq: e.Seq, Type: e.Body.Type(), Body: e.Body})
}

// UnmarshalJSON decodes one line and refuses unknown fields and types.
func (e *Event) UnmarshalJSON(data []byte) error {
	var wire line
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
	if err := needName("vm", e.VM); err != nil {
		return err
	}
	return wrapf(e.Body.validate(), "%s", e.Body.Type())
}

func strictDecode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one value on the line")
	}
	return nil
}

func decodeAs[T Body](data []byte) (Body, error) {
	var body T
	err := strictDecode(data, &body)
	return body, wrapf(err, "decode %s", body.Type())
}

// bodyDecoders maps every type to the decoder of its body.
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
		return nil, errors.Errorf("unknown type %q", kind)
	}
	return decode(data)
}
