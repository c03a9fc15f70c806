// Package recording converts the events of a VM's callers, attempts and configuration
// into events of a trace; writing the trace is left to package trace. The recorders
// are attached only if a trace is written, so that a VM without one pays only for a
// comparison with nil.
package recording
