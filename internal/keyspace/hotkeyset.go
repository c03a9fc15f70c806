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
func (s *HotKeySet) Add(unit Unit) bool {
	if !unit.IsHot() {
		return false
	}
	if s.Has(unit) {
		return true
	}
	if len(s.units) >= MaxHotKeys {
		return false
	}
	if s.units == nil {
		s.units = make(map[Unit]struct{})
	}
	s.units[unit] = struct{}{}
	return true
}

// Remove removes a hot key if it is in the set.
func (s *HotKeySet) Remove(unit Unit) { delete(s.units, unit) }

// Has reports whether the hot key is in the set.
func (s *HotKeySet) Has(unit Unit) bool {
	_, found := s.units[unit]
	return found
}

// Len returns the number of hot keys.
func (s *HotKeySet) Len() int { return len(s.units) }

// Units returns the hot keys in ascending order.
func (s *HotKeySet) Units() []Unit { return slices.Sorted(maps.Keys(s.units)) }

// Resolve returns the unit that a key with the hash belongs to: its hot key unit if that
// is in the set, else its slice, where slices is the number of slices of the service.
func (s *HotKeySet) Resolve(hash Hash, slices int) Unit {
	if hot := hash.HotUnit(); s.Has(hot) {
		return hot
	}
	return hash.Slice(slices)
}
