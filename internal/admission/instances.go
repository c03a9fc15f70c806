package admission

import "slices"

// pastInstances bounds how many former instance identifiers are remembered.
const pastInstances = 8

// instances tells a restart of the backend server from a late answer of an
// instance that has ended.
type instances struct {
	current string
	past    []string
}

// ended reports whether the instance was current before another one.
func (i *instances) ended(instance string) bool { return slices.Contains(i.past, instance) }

// note makes the instance current and reports whether that is a restart. The first
// instance ever seen is none.
func (i *instances) note(instance string) (restarted bool) {
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
	if len(i.past) > pastInstances {
		i.past = slices.Delete(i.past, 0, 1)
	}
	return true
}
