// Package admission decides which requests may be sent to one backend server, and
// when. It does no I/O: sending is left to package gate, and the choice of the
// backend server to package balance or, for keyed services, to the assignment of the
// key.
//
// Exactly one VM is the gate of a backend server, so the limits of a Gate hold
// over all VMs. A Gate keeps the slots of the backend server, a bounded queue that
// is fair between workspaces, and a limit that grows step by step after a cold
// start. A request is refused before its first byte is sent, so a refused request
// has not run.
package admission
