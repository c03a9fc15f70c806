package keyrange

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// largeAssignment returns an assignment of the given number of ranges to 108 owners.
func largeAssignment(ranges int) *Assignment {
	a := &Assignment{Holder: "vm-instance", Address: "10.1.0.14:7400", Fence: 1 << 20, Services: map[string][]Entry{}}
	size := (MaxKey + 1) / ranges
	for i := range ranges {
		e := Entry{
			Range: Range{i * size, i*size + size - 1}, Backend: fmt.Sprintf("backend-%05d", i%108),
			Address: fmt.Sprintf("10.2.0.%d:8080", i%108), Started: 1792046955015, Fence: 1<<19 + int64(i), Moving: i%7 == 0,
		}
		if i%11 == 0 {
			e = Entry{Range: e.Range}
		}
		a.Services["s"] = append(a.Services["s"], e)
	}
	a.Services["s"][ranges-1].Range.Last = MaxKey
	return a
}

// TestRecordRoundTrip guards against records that lose data, and against records so large
// that they saturate the links of small VMs: every VM gets one at every change.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	a := largeAssignment(1000)
	for _, earlierCalls := range []time.Duration{0, 1700 * time.Millisecond, UnknownCalls} {
		a.EarlierCalls = earlierCalls
		content, err := a.Encode()
		is.NoErr(err)
		is.True(len(content) < 20_000)
		decoded, err := Decode(content)
		is.NoErr(err)
		is.Equal(decoded, a)
	}
}

// TestInvalidRecords guards against records that are accepted although they are
// incomplete, inconsistent or of another format.
func TestInvalidRecords(t *testing.T) {
	is := is.New(t)
	a := largeAssignment(4)
	a.Services["s"][1].Range.First++
	_, err := a.Encode()
	is.True(err != nil)
	for _, r := range []record{
		{Format: recordFormat - 1},
		{Format: recordFormat, Services: map[string][]recordEntry{"s": {{Last: 9}}}},
		{Format: recordFormat, Services: map[string][]recordEntry{"s": {{Last: MaxKey, Owner: 1}}}},
		{Format: recordFormat, Services: map[string][]recordEntry{"s": {{Last: 9}, {Last: 8}, {Last: MaxKey}}}},
	} {
		content, err := cbor.Marshal(r)
		is.NoErr(err)
		_, err = Decode(content)
		is.True(err != nil)
	}
}
