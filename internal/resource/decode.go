package resource

import (
	"bytes"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxFileBytes bounds one YAML input.
const MaxFileBytes = 16 << 20

// Set is the resources of one file in file order.
type Set []Resource

// Find returns the resource with the id.
func (s Set) Find(id ID) (Resource, bool) {
	for _, r := range s {
		if r.ID() == id {
			return r, true
		}
	}
	return Resource{}, false
}

// Decode reads YAML documents strictly. The error is of type Faults and lists
// every fault found. References are resolved in the set itself and then through
// existing, which may be nil.
func Decode(file string, r io.Reader, existing Lookup) (Set, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", file)
	}
	if len(data) > MaxFileBytes {
		return nil, Faults{{File: file, Reason: "larger than 16 MiB"}}
	}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Faults{{File: file, Reason: yamlReason(err)}}
	}
	list := &faultList{file: file}
	var set Set
	for i, doc := range parsed.Docs {
		if doc.Body == nil {
			continue
		}
		list.document = i + 1
		if resource, ok := decodeDocument(list, []byte(doc.Body.String())); ok {
			addResource(list, &set, resource)
		}
	}
	checkSet(list, set, existing)
	if len(list.faults) > 0 {
		return nil, list.faults
	}
	return set, nil
}

func decodeDocument(list *faultList, data []byte) (Resource, bool) {
	var head struct {
		APIVersion string   `yaml:"apiVersion"`
		Kind       Kind     `yaml:"kind"`
		Metadata   Metadata `yaml:"metadata"`
		Spec       ast.Node `yaml:"spec"`
		Status     any      `yaml:"status"`
	}
	if err := decodeStrict(data, &head); err != nil {
		list.addf("", "%s", yamlReason(err))
		return Resource{}, false
	}
	if head.APIVersion != APIVersion {
		list.addf("apiVersion", "%q is not %q", head.APIVersion, APIVersion)
		return Resource{}, false
	}
	spec, ok := newSpec(head.Kind)
	if !ok {
		list.addf("kind", "%q is not one of %v", head.Kind, Kinds)
		return Resource{}, false
	}
	if head.Spec == nil {
		list.addf("spec", "is missing")
		return Resource{}, false
	}
	if err := yaml.NodeToValue(head.Spec, spec, yaml.Strict(), yaml.DisallowUnknownField()); err != nil {
		list.addf("spec", "%s", yamlReason(err))
		return Resource{}, false
	}
	spec.setDefaults()
	return Resource{APIVersion: head.APIVersion, Metadata: head.Metadata, Spec: spec}, true
}

func decodeStrict(data []byte, into any) error {
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField()).Decode(into)
}

// yamlReason reduces a parser error to one line without the source excerpt, which
// could hold a secret.
func yamlReason(err error) string {
	line, _, _ := strings.Cut(yaml.FormatError(err, false, false), "\n")
	return line
}

func addResource(list *faultList, set *Set, r Resource) {
	validateName(list, "metadata.name", r.Metadata.Name)
	if _, duplicate := set.Find(r.ID()); duplicate {
		list.addf("metadata.name", "duplicate %s", r.ID())
		return
	}
	r.Spec.validate(list)
	*set = append(*set, r)
}

func checkSet(list *faultList, set Set, existing Lookup) {
	find := func(id ID) (Resource, bool) {
		if r, ok := set.Find(id); ok {
			return r, true
		}
		if existing == nil {
			return Resource{}, false
		}
		return existing(id)
	}
	for i, r := range set {
		list.document = i + 1
		checkReferences(list, r, find)
	}
}

// Validate reports the faults of one resource apart from its references.
func Validate(r Resource) Faults {
	list := &faultList{}
	validateName(list, "metadata.name", r.Metadata.Name)
	r.Spec.validate(list)
	return list.faults
}
