// Package recording turns what the parts of a VM do into events of a trace. Its
// recorders are attached only if a trace is written, so that a VM without one pays
// a comparison with nil.
package recording
