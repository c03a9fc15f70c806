package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"fireflyfield/internal/keyspace"
)

// Rendezvous returns the backend server with the highest hash of (unit, name). It
// is a baseline for Plan: few moves per change, but no bound on the load.
func Rendezvous(unit keyspace.Unit, servers []string) string {
	var best string
	var bestScore uint64
	for _, name := range servers {
		score := rendezvousScore(unit, name)
		if best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

func rendezvousScore(unit keyspace.Unit, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(unit))
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// EqualRanges returns the backend server of the unit at index of total when the units
// are split into equal ranges. It is a baseline for Plan: equal numbers of units,
// but a change of the servers moves most of them.
func EqualRanges(index, total int, servers []string) string {
	return servers[index*len(servers)/total]
}
