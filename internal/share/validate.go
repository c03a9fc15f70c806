package share

import "math"

// Bounds of the values in a message. They are far above what a VM or a fleet reaches.
const (
	maxCount = 1 << 40 // requests since the last report
	maxVMs   = 1 << 20
)

// validator is a message whose values can be out of range.
type validator interface{ valid() bool }

func isRate(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

func isCount(n int) bool { return n >= 0 && n <= maxCount }

func isVMCount(n int) bool { return n >= 0 && n <= maxVMs }

func (r *Report) valid() bool {
	ok := isVMCount(r.Member.FanOut)
	for _, demand := range r.Demand {
		ok = ok && isRate(float64(demand))
	}
	for _, counts := range r.Counts {
		ok = ok && isCount(counts.Requested) && isCount(counts.Admitted)
	}
	for _, keys := range r.Keys {
		for _, key := range keys {
			ok = ok && isCount(key.Count)
		}
	}
	for _, limit := range r.Limits {
		ok = ok && isRate(limit)
	}
	return ok
}

func (m *Members) valid() bool {
	for _, member := range m.List {
		if !isVMCount(member.FanOut) {
			return false
		}
	}
	return true
}

func (a *Allotment) valid() bool {
	ok := isVMCount(a.Count)
	for _, w := range a.Workspaces {
		ok = ok && w.Factor >= 0 && w.Factor <= 1 && isRate(float64(w.Demand)) && isVMCount(w.ActiveVMs)
	}
	return ok
}
