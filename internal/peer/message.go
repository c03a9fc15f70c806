// Package peer connects the VMs of the system: control messages travel as CBOR
// over WebSocket, callers' requests as HTTP/2.
package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Version is the version of the protocol between VMs.
const Version = 1

// maxMessageBytes bounds every control message; a type may set a lower limit.
const maxMessageBytes = 8 << 20

// Identity names one process in the handshake.
type Identity struct {
	Version int `cbor:"1,keyasint"`
	// VM is the name of the VM.
	VM string `cbor:"2,keyasint"`
	// Instance differs between two processes with the same name.
	Instance      string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
}

// MessageType names a call.
type MessageType uint16

// direction tells calls and their answers apart.
type direction uint8

const (
	directionCall direction = iota + 1
	directionReply
	directionError
)

// envelope frames every message after the handshake. ID is never used twice on a
// connection by the calling side.
type envelope struct {
	Type      MessageType     `cbor:"1,keyasint"`
	ID        uint64          `cbor:"2,keyasint"`
	Direction direction       `cbor:"3,keyasint"`
	Body      cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// ErrorCode classifies an error answer.
type ErrorCode uint8

// The error codes.
const (
	CodeUnknownType ErrorCode = iota + 1
	CodeMalformed
	CodeTooLarge
	CodeFailed
	CodeUnsupportedVersion
)

// RemoteError is an error that the other VM answered.
type RemoteError struct {
	Code   ErrorCode `cbor:"1,keyasint"`
	Detail string    `cbor:"2,keyasint"`
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer error %d: %s", e.Code, e.Detail) }

// UnreachableError says that no connection to the VM could be used.
type UnreachableError struct {
	Address string
	// Refused is set when the address refused the connection, which proves that
	// no process listens there.
	Refused bool
	Err     error
}

// Error implements error.
func (e *UnreachableError) Error() string { return "VM at " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// encode frames a body for sending.
func encode(kind MessageType, id uint64, dir direction, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode body")
	}
	data, err := cbor.Marshal(envelope{Type: kind, ID: id, Direction: dir, Body: raw})
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return data, nil
}

func decode(data []byte) (envelope, error) {
	var e envelope
	if err := decodeMode.Unmarshal(data, &e); err != nil {
		return envelope{}, errors.Wrap(err, "decode message")
	}
	return e, nil
}
