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

// MaxFileBytes bounds the size of one YAML input in bytes.
const MaxFileBytes = 16 << 20

// Set holds the resources of one file in file order.
type Set []Resource

// Find returns the resource with the identifier.
func (s Set) Find(id ID) (Resource, bool) {
	for _, r := range s {
		if r.ID() == id {
			return r, true
		}
	}
	return Resource{}, false
}

// Decode decodes and validates the YAML documents of one input; unknown fields are
// faults. It resolves references in the set itself and then through existing, which
// may be nil. The error is of type Faults and lists every fault found, except if
// reading fails. The file name appears in errors only.
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
		return nil, Faults{{File: file, Reason: yamlErrorLine(err)}}
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
	checkSetReferences(list, set, existing)
	if len(list.faults) > 0 {
		return nil, list.faults
	}
	return set, nil
}

// decodeDocument decodes one document and sets defaults. It adds the first fault to
// the list and returns false if the document can't be decoded.
func decodeDocument(list *faultList, data []byte) (Resource, bool) {
	var envelope struct {
		APIVersion string   `yaml:"apiVersion"`
		Kind       Kind     `yaml:"kind"`
		Metadata   Metadata `yaml:"metadata"`
		Spec       ast.Node `yaml:"spec"`
		Status     any      `yaml:"status"`
	}
	if err := decodeStrict(data, &envelope); err != nil {
		list.addf("", "%s", yamlErrorLine(err))
		return Resource{}, false
	}
	if envelope.APIVersion != APIVersion {
		list.addf("apiVersion", "%q is not %q", envelope.APIVersion, APIVersion)
		return Resource{}, false
	}
	spec, ok := newSpec(envelope.Kind)
	if !ok {
		list.addf("kind", "%q is not one of %v", envelope.Kind, Kinds)
		return Resource{}, false
	}
	if envelope.Spec == nil {
		list.addf("spec", "is missing")
		return Resource{}, false
	}
	if err := yaml.NodeToValue(envelope.Spec, spec, yaml.Strict(), yaml.DisallowUnknownField()); err != nil {
		list.addf("spec", "%s", yamlErrorLine(err))
		return Resource{}, false
	}
	spec.setDefaults()
	return Resource{APIVersion: envelope.APIVersion, Metadata: envelope.Metadata, Spec: spec}, true
}

func decodeStrict(data []byte, target any) error {
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField()).Decode(target)
}

// yamlErrorLine returns the first line of a parser error. It omits the source excerpt,
// which could contain a secret.
func yamlErrorLine(err error) string {
	line, _, _ := strings.Cut(yaml.FormatError(err, false, false), "\n")
	return line
}

// addResource validates the resource and adds it to the set unless the set has one
// with the same identifier.
func addResource(list *faultList, set *Set, r Resource) {
	validateName(list, "metadata.name", r.Metadata.Name)
	if _, duplicate := set.Find(r.ID()); duplicate {
		list.addf("metadata.name", "duplicate %s", r.ID())
		return
	}
	r.Spec.validate(list)
	*set = append(*set, r)
}

// checkSetReferences adds a fault for each reference that neither the set nor
// existing can resolve.
func checkSetReferences(list *faultList, set Set, existing Lookup) {
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

// Validate returns the faults of one resource. It does not check references.
func Validate(r Resource) Faults {
	list := &faultList{}
	validateName(list, "metadata.name", r.Metadata.Name)
	r.Spec.validate(list)
	return list.faults
}
