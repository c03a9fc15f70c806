package resource

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validFile = `
apiVersion: fireflyfield/v1
kind: FailureDomain
metadata: {name: plateau}
spec: {}
---
apiVersion: fireflyfield/v1
kind: Service
metadata: {name: entretien}
spec:
  key: {pathSegment: 1}
  checksGrants: true
  backendServers:
    - {name: e1, address: "10.0.0.1:80", failureDomain: plateau}
`

// Guards against omitted fields of a spec that keep their zero value, such as 0 slices or
// no idempotent methods.
func TestDecodeSetsDefaults(t *testing.T) {
	is := is.New(t)
	set, err := Decode("a.yaml", strings.NewReader(validFile), nil)
	is.NoErr(err)
	is.Equal(len(set), 2)
	service := set[1].Spec.(*ServiceSpec)
	is.Equal(service.Slices, DefaultSlices)
	is.True(service.Idempotent("GET"))
	is.True(!service.Idempotent("POST"))
}

// Guards against a faulty file that is accepted, and against an error that does not
// name the document and field.
func TestDecodeReportsEveryFault(t *testing.T) {
	cases := []struct {
		name, input string
		want        []string
	}{
		{"unknown field", strings.Replace(validFile, "checksGrants", "checkGrants", 1), []string{"document 2: spec:", "checkGrants"}},
		{"dangling reference", strings.Replace(validFile, "failureDomain: plateau", "failureDomain: medina", 1), []string{"document 2: spec.backendServers[0].failureDomain: FailureDomain/medina does not exist"}},
		{"duplicate resources", validFile + "---" + validFile, []string{"duplicate FailureDomain/plateau", "duplicate Service/entretien"}},
		{"value out of range", strings.Replace(validFile, "checksGrants: true", "slots: 9999", 1), []string{"spec.slots: 9999 is outside 1 to 4096"}},
		{"unknown kind", strings.Replace(validFile, "kind: Service", "kind: Servce", 1), []string{`document 2: kind: "Servce" is not one of`}},
		{"malformed YAML", "a: [", []string{"a.yaml"}},
		{"duration without unit", strings.Replace(validFile, "checksGrants: true", "timeout: 5", 1), []string{"5"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode("a.yaml", strings.NewReader(c.input), nil)
			is.True(err != nil)
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			}
		})
	}
}
