package share

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestValuesOutOfRange guards against a message of another writer whose values take the rates
// of workspaces from all VMs, or lift the limits.
func TestValuesOutOfRange(t *testing.T) {
	inf, nan := float32(math.Inf(1)), float32(math.NaN())
	for name, message := range map[string]any{
		"infinite demand":        &Report{Demand: map[string]float32{"w": inf}},
		"demand NaN":             &Report{Demand: map[string]float32{"w": nan}},
		"negative demand":        &Report{Demand: map[string]float32{"w": -1}},
		"negative count":         &Report{Counts: map[string]Counts{"w": {Requested: -1}}},
		"huge count":             &Report{Counts: map[string]Counts{"w": {Admitted: math.MaxInt}}},
		"negative count of keys": &Report{Keys: map[string][]KeyCount{"s": {{Key: 1, Count: -5}}}},
		"limit NaN":              &Report{Limits: map[string]float64{"b": math.NaN()}},
		"negative fan-out":       &Members{List: []Member{{VM: "v", FanOut: -1}}},
		"negative members":       &Allotment{Count: -1},
		"factor above 1":         &Allotment{Workspaces: map[string]WorkspaceAllotment{"w": {Factor: 2}}},
		"factor NaN":             &Allotment{Workspaces: map[string]WorkspaceAllotment{"w": {Factor: nan}}},
		"infinite total demand":  &Allotment{Workspaces: map[string]WorkspaceAllotment{"w": {Factor: 1, Demand: inf}}},
		"negative active VMs":    &Allotment{Workspaces: map[string]WorkspaceAllotment{"w": {ActiveVMs: -1}}},
	} {
		content, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		switch message.(type) {
		case *Report:
			err = Decode(content, new(Report))
		case *Members:
			err = Decode(content, new(Members))
		case *Allotment:
			err = Decode(content, new(Allotment))
		}
		if err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// FuzzDecode guards against a record of another writer that crashes the decoders, or whose
// values are out of range.
func FuzzDecode(f *testing.F) {
	for _, message := range []any{
		Report{Member: Member{VM: "v", Address: "127.0.0.1:9", FanOut: 3}, Number: 1, Demand: map[string]float32{"w": 1.5}, Keys: map[string][]KeyCount{"s": {{Key: 4, Count: 2}}}},
		Members{Epoch: 2, List: []Member{{VM: "v", Domain: "d", Address: "127.0.0.1:9"}}},
		Allotment{Epoch: 2, Count: 1, Reports: []byte{1}, Workspaces: map[string]WorkspaceAllotment{"w": {Factor: 1, Demand: 2}}},
	} {
		content, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, content []byte) {
		var r Report
		if err := Decode(content, &r); err == nil {
			for name, demand := range r.Demand {
				if !(demand >= 0) {
					t.Errorf("demand %g of %q", demand, name)
				}
			}
		}
		var a Allotment
		if err := Decode(content, &a); err == nil && a.Count < 0 {
			t.Errorf("allotment for %d VMs", a.Count)
		}
		_ = Decode(content, &Members{})
	})
}
