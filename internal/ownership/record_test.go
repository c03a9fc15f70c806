package ownership

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"fireflyfield/internal/keyspace"
)

func sampleRecords() []Record {
	member := Member{VM: "vm-1", Instance: "a"}
	hot := keyspace.HashKey("entretien", "k").HotUnit()
	units := []keyspace.Unit{0, 7, 65535}
	records := []Record{
		{Claim: &Claim{Member: member}},
		{Claim: &Claim{Member: member, Previous: TermAt(3)}},
		{Join: &Join{Member: Member{VM: "vm-2", Instance: "b"}}},
		{Admit: &Admit{Term: TermAt(1), Member: Member{VM: "vm-2", Instance: "b"}}},
		{Remove: &Remove{Term: TermAt(1), Member: member}},
		{MemberEpoch: &MemberEpoch{Epoch: 2}},
		{Hot: &HotKeyChange{Term: TermAt(1), Service: "entretien", Split: []keyspace.Unit{hot}}},
		{Assign: &Assign{Term: TermAt(1), Service: "entretien", Server: "e-1", Counter: 4, Units: append(units, hot)}},
		{Release: &Release{Term: TermAt(1), Service: "entretien", To: "pikine", Epoch: 1, Slices: units}},
		{Handoff: &Handoff{Term: TermAt(1), To: Member{VM: "vm-2", Instance: "b"}}},
		{Init: &Init{Service: "entretien", Slices: 256, Domains: []string{"plateau", "medina"}}},
		{Home: &Home{Service: "entretien", To: "pikine", Epoch: 1, Slices: units}},
		{Pairs: &Pairs{Term: TermAt(1), Pairs: []Pair{{Partition: 63, Holder: member, Backup: Member{VM: "vm-2", Instance: "b"}, HomeEpoch: 1}}}},
	}
	for i := range records {
		records[i].ID[0] = byte(i + 1)
	}
	return records
}

// Guards against fields that are lost in encoding or decoding.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, record := range sampleRecords() {
		data, err := record.Encode()
		is.NoErr(err)
		decoded, err := DecodeRecord(data)
		is.NoErr(err)
		is.Equal(decoded, record)
	}
}

// Guards against accepting records beyond the limits of size, list lengths and names,
// and against an assign record of the maximum length that cannot be encoded.
func TestRecordLimits(t *testing.T) {
	is := is.New(t)
	full := make([]keyspace.Unit, MaxRecordUnits)
	for i := range full {
		full[i] = keyspace.Hash(^uint64(i)).HotUnit()
	}
	_, err := Record{Assign: &Assign{Service: "s", Server: "b", Units: full}}.Encode()
	is.NoErr(err)
	invalid := []Record{
		{},
		{Claim: &Claim{}},
		{Claim: &Claim{Member: Member{VM: strings.Repeat("v", MaxNameBytes+1), Instance: "a"}}},
		{MemberEpoch: &MemberEpoch{}, Join: &Join{Member: Member{VM: "v", Instance: "a"}}},
		{Assign: &Assign{Service: "s", Server: "b", Units: append(full, 1)}},
		{Assign: &Assign{Service: "s", Server: "b", Units: []keyspace.Unit{65536}}},
		{Release: &Release{Service: "s", To: "d", Slices: full[:1]}},
		{Hot: &HotKeyChange{Service: "s", Split: []keyspace.Unit{1}}},
		{Init: &Init{Service: "s", Slices: 65537, Domains: []string{"d"}}},
		{Init: &Init{Service: "s", Slices: 1}},
	}
	for _, record := range invalid {
		_, err := record.Encode()
		is.True(errors.Is(err, ErrRecord))
	}
	_, err = DecodeRecord(make([]byte, MaxRecordBytes+1))
	is.True(errors.Is(err, ErrRecord))
}

// Guards against a decoder that panics or accepts a record that cannot be encoded again,
// and against a replay that panics on an accepted record.
func FuzzDecodeRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := record.Encode()
		if err != nil {
			t.Fatalf("accepted record can't be encoded: %v", err)
		}
		decoded, err := DecodeRecord(again)
		if err != nil {
			t.Fatalf("encoded record can't be decoded: %v", err)
		}
		final, err := decoded.Encode()
		if err != nil || !bytes.Equal(again, final) {
			t.Fatalf("encoding is not stable: %x, %x, %v", again, final, err)
		}
		state, homes := NewState(), NewHomes()
		state.Apply(1, record)
		homes.Apply(1, record)
	})
}

// Guards against a snapshot decoder that panics or returns a state to which records
// cannot be applied.
func FuzzDecodeState(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := DecodeState(data)
		if err != nil {
			return
		}
		for i, record := range sampleRecords() {
			state.Apply(state.NextOffset+uint64(i), record)
		}
	})
}

// Guards against a seed corpus in testdata that differs from the encoded sample records.
// After a change of the record format, run with FIREFLYFIELD_WRITE_CORPUS=1 to write it.
func TestSeedCorpusIsCurrent(t *testing.T) {
	is := is.New(t)
	state := NewState()
	for i, record := range sampleRecords() {
		data, err := record.Encode()
		is.NoErr(err)
		checkCorpus(t, "FuzzDecodeRecord", fmt.Sprintf("record-%02d", i), data)
		state.Apply(uint64(i+1), record)
	}
	snapshot, err := state.Encode()
	is.NoErr(err)
	checkCorpus(t, "FuzzDecodeState", "state", snapshot)
}

func checkCorpus(t *testing.T, target, name string, data []byte) {
	t.Helper()
	path := filepath.Join("testdata", "fuzz", target, name)
	want := fmt.Sprintf("go test fuzz v1\n[]byte(%q)\n", data)
	if os.Getenv("FIREFLYFIELD_WRITE_CORPUS") != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil || string(got) != want {
		t.Fatalf("%s differs from the encoded samples: %v", path, err)
	}
}

// Guards against a replay that depends on anything but the records: a state restored
// from a snapshot at any offset must end up equal to one replayed in full.
func TestSnapshotEqualsReplay(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	samples := sampleRecords()
	for range 200 {
		full, restored := NewState(), NewState()
		cut := random.IntN(40)
		for offset := range 40 {
			record := samples[random.IntN(len(samples))]
			if random.IntN(2) == 0 {
				record.ID[1] = byte(random.IntN(256))
			}
			if offset == cut {
				data, err := restored.Encode()
				is.NoErr(err)
				restored, err = DecodeState(data)
				is.NoErr(err)
			}
			is.Equal(full.Apply(uint64(offset+1), record), restored.Apply(uint64(offset+1), record))
		}
		is.True(reflect.DeepEqual(full, restored))
	}
}
