// Package resource defines the kinds of resources that operators create, their YAML
// and JSON forms, and the checks of a single resource and its references. It leaves to
// package config which revision of a resource is in force.
package resource

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// APIVersion is the only value accepted in the apiVersion field.
const APIVersion = "fireflyfield/v1"

// Kind names a type of resource.
type Kind string

// The kinds that operators can create.
const (
	KindService       Kind = "Service"
	KindFailureDomain Kind = "FailureDomain"
	KindWorkspace     Kind = "Workspace"
	KindCallerKey     Kind = "CallerKey"
	KindRate          Kind = "Rate"
	KindDrain         Kind = "Drain"
)

// Kinds lists every kind in an order in which a resource refers only to kinds before
// its own.
var Kinds = []Kind{KindFailureDomain, KindService, KindWorkspace, KindCallerKey, KindRate, KindDrain}

// ID identifies a resource by its kind and name.
type ID struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`
}

// String returns the form "Kind/name".
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// Metadata is the part of a resource that all kinds have in common.
type Metadata struct {
	Name string `json:"name" yaml:"name"`
	// Revision is the offset of the record that last changed the resource; zero for
	// a resource that was not accepted yet.
	Revision uint64 `json:"revision,omitempty" yaml:"revision,omitempty"`
}

// Spec is the desired state of a resource. Each kind has its own implementation.
type Spec interface {
	// Kind returns the kind that the spec belongs to.
	Kind() Kind
	// setDefaults sets omitted fields to their defaults.
	setDefaults()
	// validate adds the faults that can be found without other resources.
	validate(faults *faultList)
	// references lists the fields that name other resources, which must exist.
	references() []reference
}

// Resource is one object of the configuration: its metadata, its desired state and
// its reported status.
type Resource struct {
	APIVersion string
	Metadata   Metadata
	Spec       Spec
	// Status is reported by the VMs and ignored on input.
	Status *Status
}

// ID returns the kind and name that identify the resource.
func (r Resource) ID() ID { return ID{Kind: r.Spec.Kind(), Name: r.Metadata.Name} }

// Status is what the VMs report about a resource.
type Status struct {
	Conditions []Condition `json:"conditions,omitempty" yaml:"conditions,omitempty"`
	// Details holds values specific to the kind, such as the slices left during a
	// drain.
	Details map[string]string `json:"details,omitempty" yaml:"details,omitempty"`
}

// Condition is one aspect of the status of a resource, with the reason for it.
type Condition struct {
	Type   string    `json:"type" yaml:"type"`
	Status string    `json:"status" yaml:"status"`
	Reason string    `json:"reason,omitempty" yaml:"reason,omitempty"`
	Since  time.Time `json:"since,omitzero" yaml:"since,omitempty"`
}

// document is the form of a resource in YAML and JSON.
type document struct {
	APIVersion string   `json:"apiVersion" yaml:"apiVersion"`
	Kind       Kind     `json:"kind" yaml:"kind"`
	Metadata   Metadata `json:"metadata" yaml:"metadata"`
	Spec       Spec     `json:"spec" yaml:"spec"`
	Status     *Status  `json:"status,omitempty" yaml:"status,omitempty"`
}

// Document returns the value to marshal as YAML or JSON.
func (r Resource) Document() any {
	return document{APIVersion: APIVersion, Kind: r.Spec.Kind(), Metadata: r.Metadata, Spec: r.Spec, Status: r.Status}
}

// MarshalJSON encodes the value that Document returns.
func (r Resource) MarshalJSON() ([]byte, error) { return json.Marshal(r.Document()) }

// UnmarshalJSON decodes a document written by MarshalJSON and sets the defaults of
// omitted fields. It does not validate the resource.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var envelope struct {
		APIVersion string          `json:"apiVersion"`
		Kind       Kind            `json:"kind"`
		Metadata   Metadata        `json:"metadata"`
		Spec       json.RawMessage `json:"spec"`
		Status     *Status         `json:"status"`
	}
	if err := json.Unmarshal(data, &envelope); err != nil {
		return errors.Wrap(err, "decode resource")
	}
	spec, ok := newSpec(envelope.Kind)
	if !ok {
		return errors.Errorf("unknown kind %q", envelope.Kind)
	}
	if err := json.Unmarshal(envelope.Spec, spec); err != nil {
		return errors.Wrapf(err, "decode spec of %s", envelope.Kind)
	}
	spec.setDefaults()
	*r = Resource{APIVersion: envelope.APIVersion, Metadata: envelope.Metadata, Spec: spec, Status: envelope.Status}
	return nil
}

// newSpec returns an empty spec of the kind, or false if the kind is unknown.
func newSpec(kind Kind) (Spec, bool) {
	switch kind {
	case KindService:
		return &ServiceSpec{}, true
	case KindFailureDomain:
		return &FailureDomainSpec{}, true
	case KindWorkspace:
		return &WorkspaceSpec{}, true
	case KindCallerKey:
		return &CallerKeySpec{}, true
	case KindRate:
		return &RateSpec{}, true
	case KindDrain:
		return &DrainSpec{}, true
	default:
		return nil, false
	}
}

// Duration is a time.Duration written as a string such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as 250ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
