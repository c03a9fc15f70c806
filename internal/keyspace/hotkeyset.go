package keyspace

import (
	"maps"
	"slices"
)

// MaxHotKeys is the largest number of hot keys of one service in one failure domain.
const MaxHotKeys = 1024

// HotKeySet is the set of the hot keys of one service, which are owned apart from their
// slices. It has at most MaxHotKeys. The zero value is empty and ready to use. It is not
// safe for concurrent use.
type HotKeySet struct {
	units map[Unit]struct{}
}

// Add adds a hot key and reports whether it is in the set afterwards. It is not if the
// unit is a slice or the set is full.
func (e *HotKeySet) Add(unit Unit) bool {
	if !unit.IsHot() {
		return false
	}
	if e.Has(unit) {
		return true
	}
	if len(e.units) >= MaxHotKeys {
		return false
	}
	if e.units == nil {
		e.units = make(map[Unit]struct{})
	}
	e.units[unit] = struct{}{}
	return true
}

// Remove removes a hot key if it is in the set.
func (e *HotKeySet) Remove(unit Unit) { delete(e.units, unit) }

// Has reports whether the hot key is in the set.
func (e *HotKeySet) Has(unit Unit) bool {
	_, found := e.units[unit]
	return found
}

// Len returns the number of hot keys.
func (e *HotKeySet) Len() int { return len(e.units) }

// Units returns the hot keys in ascending order.
func (e *HotKeySet) Units() []Unit { return slices.Sorted(maps.Keys(e.units)) }

// Resolve returns the unit that a key with the hash belongs to: its hot key unit if that
// is in the set, else its slice, where slices is the number of slices of the service.
func (e *HotKeySet) Resolve(hash Hash, slices int) Unit {
	if hot := hash.Hot(); e.Has(hot) {
		return hot
	}
	return hash.Slice(slices)
}
