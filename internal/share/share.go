// Package share divides the rates of workspaces among VMs. Each VM reports what its
// callers ask for; one VM computes the shares and publishes them; each VM limits
// its requests to its share. The shares of one workspace sum to at most one.
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

// Latency is how long a backend server took for some answers.
type Latency struct {
	Backend string `cbor:"1,keyasint"`
	Answers int    `cbor:"2,keyasint"`
	// Sum is the sum of the latencies, each as a multiple of its route's usual one.
	Sum float32 `cbor:"3,keyasint"`
}

// Member is a VM that reports.
type Member struct {
	VM     string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Address is HOST:PORT at which other VMs reach it.
	Address string `cbor:"3,keyasint"`
}

// Members are the VMs that report, by failure domain and name.
type Members struct {
	// Epoch identifies the list; it changes with it.
	Epoch int64    `cbor:"1,keyasint"`
	List  []Member `cbor:"2,keyasint"`
}

// Counts are numbers of requests.
type Counts struct {
	Asked  int `cbor:"1,keyasint"`
	Passed int `cbor:"2,keyasint,omitempty"` // let through
}

// Report is what one VM tells about its load.
type Report struct {
	Member Member `cbor:"1,keyasint"`
	// Demand is the number of requests per second by workspace, refused ones included.
	Demand map[string]float32 `cbor:"2,keyasint,omitempty"`
	// Counts are the requests since the last report, by workspace.
	Counts map[string]Counts `cbor:"5,keyasint,omitempty"`
	// Keys are the requests of keyed services by key since the last report.
	Keys map[string][]KeyCount `cbor:"3,keyasint,omitempty"`
	// Latencies are those at backend servers of keyed services since the last report.
	Latencies []Latency `cbor:"4,keyasint,omitempty"`
}

// Allotment is the division of all rates among VMs.
type Allotment struct {
	// Epoch is that of the members that the shares are for.
	Epoch int64 `cbor:"1,keyasint"`
	// Count is the number of members.
	Count int `cbor:"3,keyasint"`
	// Shares are the shares of tight workspaces in the order of the members. Every VM
	// has an even share of the others.
	Shares map[string][]float32 `cbor:"2,keyasint,omitempty"`
	// Over lists the workspaces whose demand exceeds their rate.
	Over []string `cbor:"4,keyasint,omitempty"`
	// Active is the number of VMs with callers of a workspace, where it exceeds callersAt.
	Active map[string]int `cbor:"6,keyasint,omitempty"`
}

// Encode returns the content of a report or allotment.
func Encode(v any) ([]byte, error) {
	content, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "share")
	}
	return content, nil
}

// Decode parses the content of a report or allotment.
func Decode(content []byte, v any) error {
	if err := cbor.Unmarshal(content, v); err != nil {
		return errors.Wrap(err, "share")
	}
	return nil
}
