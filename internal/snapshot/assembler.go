package snapshot

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// maxPartial bounds the incomplete snapshots held at once; the one that was
// extended least recently is dropped first.
const maxPartial = 4

// Assembler joins the chunks of one name and keeps the complete snapshot with the
// highest position. It is not safe for concurrent use.
type Assembler struct {
	name    string
	partial []*assembly
	newest  *Snapshot
}

// assembly is a snapshot whose chunks have not all been read.
type assembly struct {
	first chunk
	parts map[uint32][]byte
}

// NewAssembler returns an assembler for the state with the name.
func NewAssembler(name string) *Assembler { return &Assembler{name: name} }

// Newest returns the complete snapshot with the highest position; of several with
// the same position the one that was created last.
func (a *Assembler) Newest() (Snapshot, bool) {
	if a.newest == nil {
		return Snapshot{}, false
	}
	return *a.newest, true
}

// Add takes one record of the stream and reports whether it completed a snapshot
// that is newer than those before. Chunks of other names are ignored; the error
// wraps ErrMalformed.
func (a *Assembler) Add(data []byte) (bool, error) {
	c, err := decodeChunk(data)
	if err != nil {
		return false, err
	}
	if c.Name != a.name || (a.newest != nil && !c.header().newerThan(a.newest.Header)) {
		return false, nil
	}
	joined := a.assemblyOf(c)
	if !joined.add(c) {
		return false, nil
	}
	a.drop(c.ID)
	complete, ok := joined.join()
	if !ok {
		return false, nil
	}
	a.newest = &complete
	return true, nil
}

func (a *Assembler) assemblyOf(c chunk) *assembly {
	for i, candidate := range a.partial {
		if candidate.first.ID == c.ID {
			a.partial = append(append(a.partial[:i:i], a.partial[i+1:]...), candidate)
			return candidate
		}
	}
	if len(a.partial) == maxPartial {
		a.partial = a.partial[1:]
	}
	created := &assembly{first: c, parts: make(map[uint32][]byte)}
	a.partial = append(a.partial, created)
	return created
}

func (a *Assembler) drop(id uuid.UUID) {
	for i, candidate := range a.partial {
		if candidate.first.ID == id {
			a.partial = append(a.partial[:i:i], a.partial[i+1:]...)
			return
		}
	}
}

// add reports whether every part is there. A chunk that contradicts the first one
// is ignored.
func (p *assembly) add(c chunk) bool {
	first := p.first
	if c.header() != first.header() || c.Count != first.Count || c.Checksum != first.Checksum {
		return false
	}
	p.parts[c.Index] = bytes.Clone(c.Data)
	return len(p.parts) == int(first.Count)
}

func (p *assembly) join() (Snapshot, bool) {
	var data []byte
	for i := range p.first.Count {
		data = append(data, p.parts[i]...)
	}
	if xxhash.Sum64(data) != p.first.Checksum {
		return Snapshot{}, false
	}
	return Snapshot{Header: p.first.header(), Data: data}, true
}
