// Package admission controls which requests reach one backend server and when.
//
// Exactly one VM holds the gate of a backend server, so the limits that a Gate
// keeps are limits over all VMs. A Gate tracks the slots of the backend server, a
// bounded queue that is fair between workspaces, and a limit that ramps up after
// a cold start. It does no I/O. Every refusal is made before a byte is sent, so a
// refused request has certainly not run.
package admission
