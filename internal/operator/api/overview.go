package api

import "time"

// Overview is what one VM knows about the whole system.
type Overview struct {
	// VM and FailureDomain are those of the VM that answers.
	VM            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	// Revision is the position of the VM's configuration.
	Revision uint64 `json:"revision"`
	// ConfirmedAgeMillis is the time in ms since the VM knew that its configuration
	// was current; -1 if it never did.
	ConfirmedAgeMillis int64 `json:"confirmedAgeMillis"`
	// Fault is the reason why the configuration can't be read; empty if it can.
	Fault          string            `json:"fault,omitempty"`
	VMs            []VMStatus        `json:"vms"`
	BackendServers []BackendStatus   `json:"backendServers"`
	Workspaces     []WorkspaceStatus `json:"workspaces"`
	Drains         []DrainStatus     `json:"drains"`
}

// The states of a VM.
const (
	VMLive     = "live"
	VMStarting = "starting"
	VMLeaving  = "leaving"
	// VMMissing means that the VM is on the platform's list and does not answer.
	VMMissing = "missing"
)

// VMStatus is the state of one VM by its last answer.
type VMStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
	// Revision is the configuration that the VM had applied when it last answered; 0
	// if it never did.
	Revision uint64 `json:"revision"`
	// AgeMillis is the time in ms since the VM last answered; -1 if it never did.
	AgeMillis int64 `json:"ageMillis"`
	// Decider says that the VM is the decider of its failure domain.
	Decider bool         `json:"decider,omitempty"`
	Gates   []GateStatus `json:"gates,omitempty"`
}

// GateStatus is the state of the gate of one backend server.
type GateStatus struct {
	Service       string `json:"service"`
	BackendServer string `json:"backendServer"`
	// State is "cold" or "warm".
	State string `json:"state"`
	// Slots is the largest and Limit the present number of requests at once.
	Slots    int `json:"slots"`
	Limit    int `json:"limit"`
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
}

// BackendStatus is the state of one backend server.
type BackendStatus struct {
	Service       string `json:"service"`
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// State is "cold", "warm", "draining", "lost", or "unknown" if no VM reports a
	// gate of the backend server.
	State string `json:"state"`
	// Slices is the number of slices and hot keys that the backend server owns.
	Slices int `json:"slices"`
	// InFlight and Slots count requests.
	InFlight int `json:"inFlight"`
	Slots    int `json:"slots"`
}

// WorkspaceStatus is the use of one workspace over all VMs.
type WorkspaceStatus struct {
	Name string `json:"name"`
	// UsedPerSecond and LimitPerSecond are requests per second; the limit is 0
	// without a Rate.
	UsedPerSecond  float64        `json:"usedPerSecond"`
	LimitPerSecond float64        `json:"limitPerSecond"`
	Refusals       []RefusalCount `json:"refusals,omitempty"`
}

// RefusalCount counts the requests refused for one reason since the VMs started.
type RefusalCount struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// DrainStatus is the progress of one Drain.
type DrainStatus struct {
	Name string `json:"name"`
	// SlicesLeft and InFlight are what still has to leave the target.
	SlicesLeft int `json:"slicesLeft"`
	InFlight   int `json:"inFlight"`
	// PartitionsLeft counts the partitions of idempotency keys that VMs of the failure
	// domain keep. Done does not wait for them; without these VMs requests with an
	// Idempotency-Key of the partitions are refused.
	PartitionsLeft int `json:"partitionsLeft"`
	// Since is when the VMs first saw the Drain in its present revision.
	Since time.Time `json:"since,omitzero"`
	// Missing names the VMs that may have requests in flight and do not answer; the
	// Drain is not done before they do.
	Missing []string `json:"missing,omitempty"`
	Done    bool     `json:"done"`
}
