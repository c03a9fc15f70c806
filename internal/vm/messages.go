package vm

import (
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
)

// Types of control messages between VMs. The number of a removed message must not be
// reused.
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
	messageServerLoads
)

// Maximum sizes of control messages in bytes.
const (
	maxHeartbeatBytes    = 256 << 10
	maxDomainMapBytes    = 8 << 20
	maxSmallMessageBytes = 64 << 10
	maxQuotaMessageBytes = 4 << 20
)

// emptyReply answers a message that asks for nothing.
type emptyReply struct{}

// domainMapCall carries a domain map. If Relay is set, the receiver forwards the map
// to the other VMs of its failure domain.
type domainMapCall struct {
	Map   ownership.DomainMap `cbor:"1,keyasint"`
	Relay bool                `cbor:"2,keyasint,omitempty"`
}

// stopUnitsCall asks a VM to stop sending requests for the units through its gate of
// the backend server.
type stopUnitsCall struct {
	Service string          `cbor:"1,keyasint"`
	Server  string          `cbor:"2,keyasint"`
	Units   []keyspace.Unit `cbor:"3,keyasint"`
}

// stopUnitsReply names the units that have no request in flight any more.
type stopUnitsReply struct {
	Units []keyspace.Unit `cbor:"1,keyasint"`
}
