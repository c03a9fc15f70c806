package vm

import (
	"slices"
	"time"

	"fireflyfield/internal/admission"
)

const (
	// minAdmitted is the number of requests that a gate must have admitted before its
	// mean latency counts, because the mean starts at an assumed value.
	minAdmitted = 16
	// minUsualLatency is the lower bound of the usual latency. It keeps the
	// warm-up of fast services from reacting to scheduling noise.
	minUsualLatency = 10 * time.Millisecond
)

// updateUsualLatency sets the usual latency of its service for each gate. Otherwise
// the limit of gates stays at one request if the service is slower than twice the
// latency that gates assume.
func (v *VM) updateUsualLatency() {
	byService := make(map[string][]*admission.Gate)
	for _, id := range v.gates.IDs() {
		if g, ok := v.gates.Gate(id); ok {
			byService[id.Service] = append(byService[id.Service], g)
		}
	}
	for _, gates := range byService {
		snapshots := make([]admission.Snapshot, 0, len(gates))
		for _, g := range gates {
			snapshots = append(snapshots, g.Snapshot())
		}
		usual, known := usualLatency(snapshots)
		for _, g := range gates {
			if known {
				g.SetUsualLatency(usual)
			}
		}
	}
}

// usualLatency returns the median of the mean latencies of warm gates, or of all gates
// if none is warm, and whether any gate has admitted enough requests.
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
