package vm

import (
	"context"

	"fireflyfield/internal/caller"
	"fireflyfield/internal/recording"
	"fireflyfield/internal/trace"
)

// TraceOptions returns the options of the trace writer for a VM. Name and Instance
// must be set.
func (o *Options) TraceOptions() trace.WriterOptions {
	header := trace.Header{Role: trace.RoleVM, Instance: o.Instance, Domain: o.FailureDomain}
	return trace.WriterOptions{VM: o.Name, Header: header}
}

// recordAttempts makes the gates record each attempt if there is a trace.
func (v *VM) recordAttempts() {
	if v.options.Trace != nil {
		v.gates.Recorder = recording.Attempts{Writer: v.options.Trace}
	}
}

// recordCallers makes the handler record each request if there is a trace.
func (v *VM) recordCallers(handler *caller.Handler) {
	if v.options.Trace != nil {
		handler.Recorder = recording.Callers{Writer: v.options.Trace}
	}
}

// recordConfig records each configuration until the context ends, starting with the
// one with which the VM becomes ready.
func (v *VM) recordConfig(ctx context.Context) {
	if v.options.Trace == nil || v.AwaitReady(ctx) != nil {
		return
	}
	recording.NewConfig(v.options.Trace).Follow(ctx, v.follower.State())
}

// recordStop records the beginning or the end of a planned stop.
func (v *VM) recordStop(phase trace.Phase) { v.options.Trace.Record(trace.Stop{Phase: phase}) }
