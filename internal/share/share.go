// Package share divides the rates of workspaces among VMs. Each VM reports the demand of
// its callers, the lease holder computes the shares, and each VM limits its requests to
// its share; the shares of one workspace in an allotment sum to at most one. Sending
// reports and publishing allotments is left to the caller.
package share

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fireflyfield/internal/quarantine"
)

// KeyCount is a number of requests for one key since the last report.
type KeyCount struct {
	Key   int `cbor:"1,keyasint"`
	Count int `cbor:"2,keyasint"`
}

// Latency is the sum of the latencies of some responses of a backend server.
type Latency struct {
	Backend   string `cbor:"1,keyasint"`
	Responses int    `cbor:"2,keyasint"` // number of these responses
	// Sum is the sum of the latencies, each as a multiple of the usual latency of its route.
	Sum float32 `cbor:"3,keyasint"`
}

// Member is a VM in the list of VMs that report their demand.
type Member struct {
	VM     string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Address is the HOST:PORT at which other VMs reach the VM.
	Address string `cbor:"3,keyasint"`
	// FanOut is the number of VMs that may poll the VM as their relay; 0 if it states none.
	FanOut int `cbor:"4,keyasint,omitempty"`
}

// Members is the list of VMs that report, sorted by failure domain and name.
type Members struct {
	// Epoch is the version of the list; it grows with each change.
	Epoch int64    `cbor:"1,keyasint"`
	List  []Member `cbor:"2,keyasint"`
}

// Counts are numbers of requests of a workspace with a rate.
type Counts struct {
	Requested int `cbor:"1,keyasint"`
	Admitted  int `cbor:"2,keyasint,omitempty"` // requests within the limit
}

// Report is what one VM publishes about its demand and latencies.
type Report struct {
	Member Member `cbor:"1,keyasint"`
	// Number identifies the demand of the report in an allotment. It is not 0, and starts
	// over after 255.
	Number uint8 `cbor:"7,keyasint,omitempty"`
	// Demand is the demand in requests per second by workspace; it includes rejected
	// requests.
	Demand map[string]float32 `cbor:"2,keyasint,omitempty"`
	// Counts are the numbers of requests since the last report, by workspace.
	Counts map[string]Counts `cbor:"5,keyasint,omitempty"`
	// Keys are the numbers of requests by key since the last report, by keyed service.
	Keys map[string][]KeyCount `cbor:"3,keyasint,omitempty"`
	// Latencies are the latencies of backend servers of keyed services since the last
	// report.
	Latencies []Latency `cbor:"4,keyasint,omitempty"`
	// Leaving are the owners of keys that have said in an answer that they leave: the start
	// of the process as Unix time in ms, by ID.
	Leaving map[string]int64 `cbor:"6,keyasint,omitempty"`
	// Limits are the limits that owners of keys name, in requests per second, by ID.
	Limits map[string]float64 `cbor:"8,keyasint,omitempty"`
}

// Allotment is the division of the rates of all workspaces among the VMs. It does not list
// the shares, whose number is that of the VMs times that of the workspaces: each VM computes
// its own ones from its demand in the report that the allotment names, and from the sum of
// all demands. So the shares of one workspace sum to at most one.
type Allotment struct {
	// Epoch is the epoch of the list of members that the allotment refers to.
	Epoch int64 `cbor:"1,keyasint"`
	// Count is the number of members.
	Count int `cbor:"3,keyasint"`
	// Reports are the numbers of the reports that the demands are from, in the order of the
	// members; 0 if there is none of the member.
	Reports []byte `cbor:"8,keyasint,omitempty"`
	// Workspaces are the workspaces of which not every VM has an even share or that have a
	// property to publish.
	Workspaces map[string]WorkspaceAllotment `cbor:"9,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that the lease holder has in force.
	ConfigVersion int64 `cbor:"7,keyasint,omitempty"`
	// Quarantined are the requests that crash backend servers. VMs learn of them from each
	// other; the record is for those that start when no other VM runs.
	Quarantined []quarantine.Verdict `cbor:"10,keyasint,omitempty"`
}

// WorkspaceAllotment is the division of the rate of one workspace. It is encoded as an
// array, so the order of its fields is part of the format.
type WorkspaceAllotment struct {
	_ struct{} `cbor:",toarray"`
	// Factor is the fraction of the rate that is divided, which is less than 1 after a
	// surge. It is 0 if every VM has an even share of the rate.
	Factor float32
	// Demand is the sum of the demands in the reports, in requests per second.
	Demand float32
	// OverRate is set if the demand exceeds the rate.
	OverRate bool
	// ActiveVMs is the number of VMs with demand, where it exceeds minActiveVMs.
	ActiveVMs int
}

// Encode returns the encoded form of v: a report, a list of members or an allotment.
func Encode(v any) ([]byte, error) {
	content, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode share message")
	}
	return content, nil
}

// Decode parses the encoded form of a report, a list of members or an allotment into v. It
// fails if values are out of range, as another program may write them to the shared log.
func Decode(content []byte, v validator) error {
	if err := cbor.Unmarshal(content, v); err != nil {
		return errors.Wrap(err, "decode share message")
	}
	if !v.valid() {
		return errors.New("decode share message: a value is out of range")
	}
	return nil
}
