package loadshare

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// TestInvalidReports guards against reports that would count for ever, or as load that no
// backend server has.
func TestInvalidReports(t *testing.T) {
	is := is.New(t)
	valid := Report{Backend: "b", InFlight: 3, Slowness: 100, AgeMs: 4}
	content, err := cbor.Marshal([]Report{
		valid,
		{Backend: "future", Slowness: 100, AgeMs: -5000},
		{Backend: "old", Slowness: 100, AgeMs: 1 << 62},
		{Backend: "negative", InFlight: -1, Slowness: 100},
		{Backend: "no slowness"},
	})
	is.NoErr(err)
	reports, err := decode(content)
	is.NoErr(err)
	is.Equal(reports, []Report{valid})
}

// FuzzDecode checks that no datagram crashes the decoder or yields a report out of range.
func FuzzDecode(f *testing.F) {
	content, err := cbor.Marshal([]Report{{Backend: "b", InFlight: 3, Slowness: 250, AgeMs: 4}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte{0x80})
	f.Add([]byte{0x9f, 0xa0, 0xff})
	f.Fuzz(func(t *testing.T, content []byte) {
		reports, err := decode(content)
		if err != nil {
			return
		}
		for _, r := range reports {
			if !r.valid() {
				t.Errorf("invalid report %+v", r)
			}
		}
	})
}
