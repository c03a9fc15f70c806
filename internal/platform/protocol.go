package platform

// AppendRequest is the body of POST /v1/streams/{stream}/records. Records travel
// as base64 in JSON.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply answers an AppendRequest with one offset a record.
type AppendReply struct {
	Offsets []uint64 `json:"offsets"`
}

// WireRecord is one record of a ReadReply.
type WireRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadReply answers GET /v1/streams/{stream}/records. With status 410 only First
// is set.
type ReadReply struct {
	// First is the oldest offset retained.
	First uint64 `json:"first"`
	// Next is the offset to read from next.
	Next    uint64       `json:"next"`
	Records []WireRecord `json:"records"`
}

// VMState is a state in the platform's list.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list, which lags.
type VM struct {
	Name          string  `json:"name"`
	FailureDomain string  `json:"failure_domain"`
	PeerAddress   string  `json:"peer_address"`
	State         VMState `json:"state"`
}

// VMList answers GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}
