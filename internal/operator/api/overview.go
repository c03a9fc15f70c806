package api

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

// VMStatus is the state of one VM as its heartbeats report it.
type VMStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// State is the state in the membership, such as "live" or "leaving".
	State string `json:"state"`
	// Revision is the configuration that the VM has applied.
	Revision uint64 `json:"revision"`
}

// BackendStatus is the state of one backend server.
type BackendStatus struct {
	Service       string `json:"service"`
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// State is "cold", "warm", "draining" or "lost".
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
	SlicesLeft int  `json:"slicesLeft"`
	InFlight   int  `json:"inFlight"`
	Done       bool `json:"done"`
}
