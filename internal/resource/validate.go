package resource

import (
	"cmp"
	"fmt"
	"regexp"
	"strings"
)

// Fault is one reason why a document is not valid, and where it was found.
type Fault struct {
	// File is the name of the input; empty if it was not read from a file.
	File string
	// Document counts from 1; zero means that the fault concerns the whole file.
	Document int
	// Path is the path of the field, such as spec.backendServers[2].address; empty
	// for the whole document.
	Path   string
	Reason string
}

// Error returns a line such as "a.yaml: document 2: spec.slots: 0 is outside 1 to
// 4096", without the parts that are not set.
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

// Faults lists every fault found in one input.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// faultList collects the faults of a file, each with the number of the document that
// is being checked.
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

// validateName adds a fault if the name is not a valid name of a resource or backend
// server.
func validateName(faults *faultList, path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		faults.addf(path, "%q must be 1 to %d lower-case letters, digits and inner hyphens", name, maxNameLength)
	}
}

// validateRange adds a fault if the value is below low or above high.
func validateRange[T cmp.Ordered](faults *faultList, path string, value, low, high T) {
	if value < low || value > high {
		faults.addf(path, "%v is outside %v to %v", value, low, high)
	}
}

// Lookup returns the resource with the identifier, or false if there is none.
type Lookup func(ID) (Resource, bool)

// CheckReferences returns a fault for each reference of the resource that find can't
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

// Referrers returns the identifiers of those resources in all that refer to id.
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
