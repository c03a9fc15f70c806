package api

import "time"

// Overview is the state of the whole system as one VM knows it.
type Overview struct {
	// VM and FailureDomain name the VM that answered and its failure domain.
	VM            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	// Revision is the position of the VM's configuration.
	Revision uint64 `json:"revision"`
	// ConfirmedAgeMillis is the time in ms since the VM last confirmed that its
	// configuration is current; -1 if it never did.
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
	// VMMissing means that the VM is on the platform's list but does not answer.
	VMMissing = "missing"
)

// VMStatus is the state of one VM according to its last answer to the VM that
// reports it.
type VMStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
	// Revision is the revision of the configuration that the VM had applied when it
	// last answered; 0 if it never did.
	Revision uint64 `json:"revision"`
	// AgeMillis is the time in ms since the VM last answered; -1 if it never did.
	AgeMillis int64 `json:"ageMillis"`
	// Decider is true if the VM is the decider of its failure domain.
	Decider bool         `json:"decider,omitempty"`
	Gates   []GateStatus `json:"gates,omitempty"`
}

// GateStatus is the state of the gate of one backend server.
type GateStatus struct {
	Service       string `json:"service"`
	BackendServer string `json:"backendServer"`
	// State is "cold" or "warm".
	State string `json:"state"`
	// Slots is the number of requests that the backend server can run at once when
	// warm, and Limit the number that the gate admits at present.
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
	// InFlight is the number of requests that run, and Slots the number that can run
	// at once.
	InFlight int `json:"inFlight"`
	Slots    int `json:"slots"`
}

// WorkspaceStatus is the use of one workspace, summed over all VMs.
type WorkspaceStatus struct {
	Name string `json:"name"`
	// UsedPerSecond and LimitPerSecond are in requests per second. The limit is 0 if
	// the workspace has no Rate.
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
	// SlicesLeft and InFlight are the numbers of slices and running requests that
	// remain on the target of the Drain.
	SlicesLeft int `json:"slicesLeft"`
	InFlight   int `json:"inFlight"`
	// PartitionsLeft is the number of partitions of idempotency keys that are still
	// held by VMs of the failure domain. Done does not wait for them. If these VMs
	// stop, requests with an Idempotency-Key in one of the partitions are refused.
	PartitionsLeft int `json:"partitionsLeft"`
	// Since is when the VMs first saw the Drain in its present revision.
	Since time.Time `json:"since,omitzero"`
	// Missing names the VMs that may have requests in flight and do not answer. The
	// Drain is not done until they answer.
	Missing []string `json:"missing,omitempty"`
	Done    bool     `json:"done"`
}
