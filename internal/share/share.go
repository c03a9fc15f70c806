// Package share divides the rates of workspaces among VMs. Each VM reports the demand of
// its callers, the lease holder computes the shares, and each VM limits its requests to
// its share; the shares of one workspace in an allotment sum to at most one. Sending
// reports and publishing allotments is left to the caller.
package share

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
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
}

// Allotment is the division of the rates of all workspaces among the VMs.
type Allotment struct {
	// Epoch is the epoch of the list of members that the shares refer to.
	Epoch int64 `cbor:"1,keyasint"`
	// Count is the number of members.
	Count int `cbor:"3,keyasint"`
	// Shares are the shares of each workspace that is tight (see tightDemandRatio) or whose
	// rate is reduced after a surge, in the order of the members. Every VM has an even share
	// of the other workspaces.
	Shares map[string][]float32 `cbor:"2,keyasint,omitempty"`
	// OverRate lists the workspaces whose demand exceeds their rate.
	OverRate []string `cbor:"4,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that the lease holder has in force.
	ConfigVersion int64 `cbor:"7,keyasint,omitempty"`
	// ActiveVMs is the number of VMs with demand for a workspace, where it exceeds
	// minActiveVMs.
	ActiveVMs map[string]int `cbor:"6,keyasint,omitempty"`
}

// Encode returns the encoded form of v: a report, a list of members or an allotment.
func Encode(v any) ([]byte, error) {
	content, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode share message")
	}
	return content, nil
}

// Decode parses the encoded form of a report, a list of members or an allotment into v.
func Decode(content []byte, v any) error {
	if err := cbor.Unmarshal(content, v); err != nil {
		return errors.Wrap(err, "decode share message")
	}
	return nil
}
