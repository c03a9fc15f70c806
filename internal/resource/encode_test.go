package resource

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
)

// Guards against an empty list of idempotent methods that becomes the default list when
// the resource is encoded and decoded, so that requests may run more than once.
func TestEmptyIdempotentMethodsSurviveEncoding(t *testing.T) {
	is := is.New(t)
	const document = `{"apiVersion":"fireflyfield/v1","kind":"Service","metadata":{"name":"paie"},"spec":{"idempotentMethods":[],
		"backendServers":[{"name":"p1","address":"h:1","failureDomain":"plateau"}]}}`
	r, faults := DecodeDocument([]byte(document), 1)
	is.Equal(len(faults), 0)

	encoded, err := json.Marshal(r)
	is.NoErr(err)
	var fromJSON Resource
	is.NoErr(json.Unmarshal(encoded, &fromJSON))
	is.True(!fromJSON.Spec.(*ServiceSpec).Idempotent("GET"))

	encoded, err = yaml.Marshal(r.Document())
	is.NoErr(err)
	fromYAML, faults := DecodeDocument(bytes.TrimSpace(encoded), 1)
	is.Equal(len(faults), 0)
	is.True(!fromYAML.Spec.(*ServiceSpec).Idempotent("GET"))
}
