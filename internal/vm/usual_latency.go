package vm

import (
	"slices"
	"time"

	"fireflyfield/internal/admission"
)

const (
	// minAdmitted is how many requests a gate must have admitted before its mean
	// latency counts; the mean starts at an assumed value.
	minAdmitted = 16
	// minUsualLatency keeps the ramp of fast services from reacting to the noise of
	// scheduling.
	minUsualLatency = 10 * time.Millisecond
)

// updateUsualLatency tells the gates what is usual for their service. Without it a
// service slower than twice the gates' assumption never leaves a limit of one.
func (v *VM) updateUsualLatency() {
	byService := make(map[string][]*admission.Gate)
	for _, id := range v.gates.IDs() {
		if own, ok := v.gates.Gate(id); ok {
			byService[id.Service] = append(byService[id.Service], own)
		}
	}
	for _, gates := range byService {
		snapshots := make([]admission.Snapshot, 0, len(gates))
		for _, own := range gates {
			snapshots = append(snapshots, own.Snapshot())
		}
		usual, known := usualLatency(snapshots)
		for _, own := range gates {
			if known {
				own.SetUsualLatency(usual)
			}
		}
	}
}

// usualLatency is the median of the warm gates' mean latencies, or of all gates
// while none is warm.
func usualLatency(snapshots []admission.Snapshot) (time.Duration, bool) {
	var warm, all []time.Duration
	for _, s := range snapshots {
		if s.Admitted < minAdmitted {
			continue
		}
		all = append(all, s.Latency)
		if s.Warm {
			warm = append(warm, s.Latency)
		}
	}
	if len(warm) > 0 {
		all = warm
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	return max(all[(len(all)-1)/2], minUsualLatency), true
}
