package admission

import "slices"

// maxPastInstances bounds the number of former instance identifiers kept.
const maxPastInstances = 8

// instances holds the current and the former instance identifiers of the backend
// server. They distinguish a restart from a late response of a former instance.
type instances struct {
	current string
	past    []string
}

// hasEnded reports whether another instance has replaced this one.
func (i *instances) hasEnded(instance string) bool { return slices.Contains(i.past, instance) }

// observe makes the instance current and reports whether the backend server has
// restarted. The first instance ever seen does not count as a restart.
func (i *instances) observe(instance string) (restarted bool) {
	if instance == "" || instance == i.current {
		return false
	}
	former := i.current
	i.current = instance
	if former == "" {
		return false
	}
	i.past = slices.DeleteFunc(i.past, func(p string) bool { return p == instance })
	i.past = append(i.past, former)
	if len(i.past) > maxPastInstances {
		i.past = slices.Delete(i.past, 0, 1)
	}
	return true
}
