// Package retry decides whether and when a request is retried or hedged, and which
// outcome an attempt proves. Only an outcome which proves that the request did not run
// allows a second attempt of a request that is not idempotent, and budgets limit the
// extra load.
//
// The package does no I/O: its user sends the attempts, waits, and reports what
// happened.
package retry
