// Package peer connects the VMs with each other: it sends control messages as CBOR over
// WebSocket and forwards requests of callers over HTTP/2. It decides how messages are
// framed, authorized and limited; their types and contents, and which VM to call, are
// left to its users.
package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Version is the version of the protocol between VMs.
const Version = 1

// maxMessageBytes is the size limit of a control message; a message type may have a lower
// limit.
const maxMessageBytes = 8 << 20

// Identity describes a process to the other side of a connection in the handshake.
type Identity struct {
	Version int `cbor:"1,keyasint"`
	// VM is the name of the VM.
	VM string `cbor:"2,keyasint"`
	// Instance tells processes with the same VM name apart.
	Instance      string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
}

// MessageType identifies a kind of call.
type MessageType uint16

// direction tells whether a message is a call, its reply or an error.
type direction uint8

const (
	directionCall direction = iota + 1
	directionReply
	directionError
)

// envelope frames every message after the handshake. The calling side uses each ID once
// on a connection; the answer has the ID of the call.
type envelope struct {
	Type      MessageType     `cbor:"1,keyasint"`
	ID        uint64          `cbor:"2,keyasint"`
	Direction direction       `cbor:"3,keyasint"`
	Body      cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// ErrorCode is the kind of a RemoteError.
type ErrorCode uint8

// Error codes of a RemoteError.
const (
	CodeUnknownType ErrorCode = iota + 1
	CodeMalformed
	CodeTooLarge
	CodeFailed
	CodeUnsupportedVersion
)

// RemoteError is an error that the other VM returned for a call. An answer that the calling
// side cannot decode gives a RemoteError with CodeMalformed too.
type RemoteError struct {
	Code   ErrorCode `cbor:"1,keyasint"`
	Detail string    `cbor:"2,keyasint"`
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer error %d: %s", e.Code, e.Detail) }

// UnreachableError means that a call got no answer: the connection to the VM could not be
// opened or failed, the context ended, or the call could not be encoded.
type UnreachableError struct {
	Address string
	// Refused is set if the address refused the connection, which proves that no process
	// listens there.
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
		// Relays pass on records of other writers, whose keys may be any bytes.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// encode returns the encoded envelope of a body.
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

// decode returns the envelope of an encoded message.
func decode(data []byte) (envelope, error) {
	var e envelope
	if err := decodeMode.Unmarshal(data, &e); err != nil {
		return envelope{}, errors.Wrap(err, "decode message")
	}
	return e, nil
}
