package config

import (
	"testing"
)

// Guards against a crash on arbitrary input, and against a record that changes when
// it is encoded again.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(record)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(again)
		if err != nil || decoded.Digest() != record.Digest() || decoded.ID != record.ID {
			t.Fatalf("decoded %+v, then %+v: %v", record, decoded, err)
		}
		NewState().Apply(1, record)
	})
}

// Guards against a crash on arbitrary input, and against a restored state whose own
// snapshot can't be restored.
func FuzzRestore(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		if s.Restore(data) != nil {
			return
		}
		if err := NewState().Restore([]byte(encodedState(t, s))); err != nil {
			t.Fatal(err)
		}
	})
}
