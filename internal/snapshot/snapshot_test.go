package snapshot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
)

func sample(name string, n byte, position uint64, size int) Snapshot {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(i) ^ n
	}
	return Snapshot{Header: Header{Name: name, ID: uuid.UUID{n}, Position: position, CreatedMillis: int64(n)}, Data: data}
}

func records(t *testing.T, s Snapshot) [][]byte {
	t.Helper()
	chunks, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return chunks
}

// Guards against a mixture of interleaved snapshots, an incomplete or an older one
// being taken.
func TestAssemblerPicksNewestComplete(t *testing.T) {
	is := is.New(t)
	a := NewAssembler("config")
	old := records(t, sample("config", 1, 10, 2*ChunkBytes+1))
	current := records(t, sample("config", 2, 20, ChunkBytes+1))
	incomplete := records(t, sample("config", 3, 30, ChunkBytes+1))
	other := records(t, sample("domain.plateau", 4, 40, 5))
	for _, record := range [][]byte{old[0], current[0], other[0], old[1], incomplete[0], current[1], old[2]} {
		_, err := a.Add(record)
		is.NoErr(err)
	}
	newest, ok := a.Newest()
	is.True(ok)
	is.Equal(newest.Position, uint64(20))
	is.Equal(newest.Data, sample("config", 2, 20, ChunkBytes+1).Data)
}

// Guards against damaged data being taken for a snapshot.
func TestAssemblerChecksChecksum(t *testing.T) {
	is := is.New(t)
	a := NewAssembler("config")
	record := records(t, sample("config", 1, 10, 100))[0]
	record[len(record)-1] ^= 1
	done, err := a.Add(record)
	is.NoErr(err)
	is.True(!done)
	_, ok := a.Newest()
	is.True(!ok)
}

// Guards against a snapshot that comes after the records it replaces are gone, and
// against every VM writing at once.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	start := time.UnixMilli(1_000_000)
	policy := Policy{Records: 100, Age: time.Hour, MaxDelay: 10 * time.Second}
	newSchedule := func(seed uint64) *Schedule { return NewSchedule(policy, rand.New(rand.NewPCG(seed, 0))) }
	newest := &Header{Position: 500, CreatedMillis: start.UnixMilli()}

	s := newSchedule(1)
	is.True(!s.ShouldWrite(start, Observation{Position: 599, FirstRetained: 1, Newest: newest}))
	is.True(!s.due(start, Observation{Position: 0, FirstRetained: 1}))
	is.True(s.due(start, Observation{Position: 600, FirstRetained: 1, Newest: newest}))
	is.True(s.due(start, Observation{Position: 530, FirstRetained: 471, Newest: newest}))              // platform retains only 60
	is.True(s.due(start.Add(time.Hour), Observation{Position: 500, FirstRetained: 1, Newest: newest})) // by age
	is.True(!s.due(start, Observation{Position: 400, FirstRetained: 1, Newest: newest}))               // this VM lags

	writers := 0
	for seed := range uint64(10) {
		s := newSchedule(seed)
		o := Observation{Position: 600, FirstRetained: 1, Newest: newest}
		s.ShouldWrite(start, o)
		if s.ShouldWrite(start.Add(time.Second), o) {
			writers++
		}
		o.Newest = &Header{Position: 600, CreatedMillis: start.UnixMilli()}
		is.True(!s.ShouldWrite(start.Add(policy.MaxDelay), o)) // another VM has written
	}
	is.True(writers <= 3)
}

// Guards against a crash and unbounded memory on any record of the stream.
func FuzzAssembler(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		a := NewAssembler("config")
		if done, err := a.Add(data); err == nil && done {
			newest, _ := a.Newest()
			if _, err := Encode(newest); err != nil {
				t.Fatal(err)
			}
		}
	})
}
