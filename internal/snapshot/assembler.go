package snapshot

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// maxIncomplete bounds the number of incomplete snapshots in memory. Beyond it, the one
// that received a chunk least recently is dropped.
const maxIncomplete = 4

// Assembler joins the chunks of the snapshots of one state and keeps the newest
// complete snapshot. It is not safe for concurrent use.
type Assembler struct {
	name string
	// incomplete is sorted by the last use, least recent first.
	incomplete []*assembly
	newest     *Snapshot
}

// assembly is a snapshot of which some chunks have not been read yet.
type assembly struct {
	firstChunk chunk
	// data holds the data of the chunks read so far by their index.
	data map[uint32][]byte
}

// NewAssembler returns an assembler for the snapshots of the state with the name.
func NewAssembler(name string) *Assembler { return &Assembler{name: name} }

// Newest returns the complete snapshot with the highest position, and of several with
// the same position the one that was created last. It returns false if there is none.
func (a *Assembler) Newest() (Snapshot, bool) {
	if a.newest == nil {
		return Snapshot{}, false
	}
	return *a.newest, true
}

// Add adds one record of the stream. It reports whether the record completed a valid
// snapshot that is newer than the newest one so far. Chunks of other states and of
// older snapshots are ignored. The error wraps ErrMalformed.
func (a *Assembler) Add(data []byte) (bool, error) {
	c, err := decodeChunk(data)
	if err != nil {
		return false, err
	}
	if c.Name != a.name || (a.newest != nil && !c.header().newerThan(a.newest.Header)) {
		return false, nil
	}
	current := a.assemblyFor(c)
	if !current.add(c) {
		return false, nil
	}
	a.remove(c.ID)
	complete, ok := current.join()
	if !ok {
		return false, nil
	}
	a.newest = &complete
	return true, nil
}

// assemblyFor returns the assembly of the snapshot that the chunk belongs to. It creates
// one if needed, and moves it to the end of the incomplete ones.
func (a *Assembler) assemblyFor(c chunk) *assembly {
	for i, candidate := range a.incomplete {
		if candidate.firstChunk.ID == c.ID {
			a.incomplete = append(append(a.incomplete[:i:i], a.incomplete[i+1:]...), candidate)
			return candidate
		}
	}
	if len(a.incomplete) == maxIncomplete {
		a.incomplete = a.incomplete[1:]
	}
	created := &assembly{firstChunk: c, data: make(map[uint32][]byte)}
	a.incomplete = append(a.incomplete, created)
	return created
}

func (a *Assembler) remove(id uuid.UUID) {
	for i, candidate := range a.incomplete {
		if candidate.firstChunk.ID == id {
			a.incomplete = append(a.incomplete[:i:i], a.incomplete[i+1:]...)
			return
		}
	}
}

// add adds the chunk and reports whether the snapshot now has all chunks. It ignores a
// chunk whose header, count or checksum differs from those of the first chunk read.
func (s *assembly) add(c chunk) bool {
	first := s.firstChunk
	if c.header() != first.header() || c.Count != first.Count || c.Checksum != first.Checksum {
		return false
	}
	s.data[c.Index] = bytes.Clone(c.Data)
	return len(s.data) == int(first.Count)
}

// join returns the snapshot, or false if the checksum does not match.
func (s *assembly) join() (Snapshot, bool) {
	var data []byte
	for i := range s.firstChunk.Count {
		data = append(data, s.data[i]...)
	}
	if xxhash.Sum64(data) != s.firstChunk.Checksum {
		return Snapshot{}, false
	}
	return Snapshot{Header: s.firstChunk.header(), Data: data}, true
}
