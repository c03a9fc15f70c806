package platform

// AppendRequest is the body of POST /v1/streams/{stream}/records. In JSON the records
// are encoded in base64.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the response to an AppendRequest. It holds the offset of each record.
type AppendReply struct {
	Offsets []uint64 `json:"offsets"`
}

// WireRecord is one record of a ReadReply.
type WireRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadReply is the response to GET /v1/streams/{stream}/records. With status 410, which
// means that the requested offset is no longer retained, clients use only
// FirstRetained.
type ReadReply struct {
	// FirstRetained is the oldest retained offset of the stream.
	FirstRetained uint64 `json:"first"`
	// Next is the offset at which the next read continues.
	Next    uint64       `json:"next"`
	Records []WireRecord `json:"records"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs, which lags behind.
type VM struct {
	Name          string  `json:"name"`
	FailureDomain string  `json:"failure_domain"`
	PeerAddress   string  `json:"peer_address"`
	State         VMState `json:"state"`
}

// VMList is the response to GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}
