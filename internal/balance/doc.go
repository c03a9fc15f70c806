// Package balance chooses the backend server for each request of a service whose
// keys have no owners. It does no I/O, and leaves it to the gate of the chosen
// backend server to admit or refuse the request.
//
// A Picker compares servers by what this VM has observed itself: its own requests
// in flight and their recent latency. Load reports may be late or wrong, so they
// only break ties.
package balance
