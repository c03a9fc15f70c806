package vm

import (
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
)

// Message types between VMs. A number is not used again for another message.
const (
	messageHeartbeat peer.MessageType = iota + 1
	messageDomainMap
	messageStopUnits
	messageLoad
	messageHandover
	messageQuota
	messageExchange
	messageStatus
	messageIdempotency
)

// Size limits of messages in bytes.
const (
	heartbeatLimit = 256 << 10
	domainMapLimit = 8 << 20
	smallLimit     = 64 << 10
	recordsLimit   = 4 << 20
)

// empty is the answer to a message that only informs.
type empty struct{}

// domainMapCall publishes a domain map. The receiver passes it on to the other
// VMs of its failure domain if Relay is set.
type domainMapCall struct {
	Map   ownership.DomainMap `cbor:"1,keyasint"`
	Relay bool                `cbor:"2,keyasint,omitempty"`
}

// stopUnitsCall asks a gate to stop sending requests for units.
type stopUnitsCall struct {
	Service string          `cbor:"1,keyasint"`
	Server  string          `cbor:"2,keyasint"`
	Units   []keyspace.Unit `cbor:"3,keyasint"`
}

// stopUnitsReply names the units without a request in flight.
type stopUnitsReply struct {
	Units []keyspace.Unit `cbor:"1,keyasint"`
}
