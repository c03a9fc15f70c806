package keyrange

import "testing"

// FuzzDecode guards against a record of the shared log that crashes the process, or that
// decodes to ranges which do not cover a key space.
func FuzzDecode(f *testing.F) {
	valid, err := (&Assignment{Holder: "vm", Era: 2, Fence: 7, Services: map[string][]Entry{
		"s": {{Range: Range{0, 9}, Backend: "b", Address: "a", Started: 1, Fence: 7}, {Range: Range{10, MaxKey}}},
	}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x0a, 0x02})
	f.Fuzz(func(t *testing.T, content []byte) {
		a, err := Decode(content)
		if err != nil {
			return
		}
		for service, entries := range a.Services {
			if !coversKeySpace(entries) {
				t.Fatalf("ranges of service %q do not cover the key space", service)
			}
			if a.Find(service, MaxKey) == nil {
				t.Fatalf("no entry for the last key of service %q", service)
			}
		}
		if _, err := a.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
