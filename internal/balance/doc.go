// Package balance chooses backend servers for the requests of a service that is
// not divided by key.
//
// A Picker compares servers by what this VM has seen itself: its own requests in
// flight and their recent latency. Load reports lag and may be wrong, so they only
// break ties. The gate of the chosen backend server still admits or refuses the
// request; the Picker decides where to ask. It does no I/O.
package balance
