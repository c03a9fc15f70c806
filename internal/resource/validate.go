package resource

import (
	"cmp"
	"fmt"
	"regexp"
	"strings"
)

// Fault is one reason why a document was refused.
type Fault struct {
	File string
	// Document counts from 1; zero means that the fault concerns the whole file.
	Document int
	// Path is the field path, such as spec.backendServers[2].address.
	Path   string
	Reason string
}

// Error returns "file: document 2: spec.slots: reason".
func (f Fault) Error() string {
	parts := make([]string, 0, 4)
	if f.File != "" {
		parts = append(parts, f.File)
	}
	if f.Document > 0 {
		parts = append(parts, fmt.Sprintf("document %d", f.Document))
	}
	if f.Path != "" {
		parts = append(parts, f.Path)
	}
	return strings.Join(append(parts, f.Reason), ": ")
}

// Faults is every fault found in one input.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// faultList collects faults of one document.
type faultList struct {
	file     string
	document int
	faults   Faults
}

func (l *faultList) addf(path, format string, args ...any) {
	l.faults = append(l.faults, Fault{File: l.file, Document: l.document, Path: path, Reason: fmt.Sprintf(format, args...)})
}

// reference is a field that names another resource.
type reference struct {
	path   string
	target ID
}

const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

func validateName(faults *faultList, path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		faults.addf(path, "%q must be 1 to %d lower-case letters, digits and inner hyphens", name, maxNameLength)
	}
}

func inRange[T cmp.Ordered](faults *faultList, path string, value, low, high T) {
	if value < low || value > high {
		faults.addf(path, "%v is outside %v to %v", value, low, high)
	}
}

// Lookup tells whether a resource exists and returns it.
type Lookup func(ID) (Resource, bool)

// CheckReferences reports every reference of the resource that find can't
// resolve.
func CheckReferences(r Resource, find Lookup) Faults {
	list := &faultList{}
	checkReferences(list, r, find)
	return list.faults
}

func checkReferences(list *faultList, r Resource, find Lookup) {
	for _, ref := range r.Spec.references() {
		if _, ok := find(ref.target); !ok {
			list.addf(ref.path, "%s does not exist", ref.target)
		}
	}
	drain, ok := r.Spec.(*DrainSpec)
	if !ok || drain.BackendServer == nil {
		return
	}
	service, ok := find(ID{KindService, drain.BackendServer.Service})
	if !ok {
		return
	}
	if _, ok := service.Spec.(*ServiceSpec).Server(drain.BackendServer.Name); !ok {
		list.addf("spec.backendServer.name", "service %s has no backend server %q", drain.BackendServer.Service, drain.BackendServer.Name)
	}
}

// Referrers returns the resources among all that refer to id.
func Referrers(id ID, all []Resource) []ID {
	var found []ID
	for _, r := range all {
		for _, ref := range r.Spec.references() {
			if ref.target == id {
				found = append(found, r.ID())
				break
			}
		}
	}
	return found
}
