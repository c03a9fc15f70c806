package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"fireflyfield/internal/keyspace"
)

// Rendezvous returns the name of the backend server with the highest hash of (unit,
// name), or "" if there are no servers. A change of the servers moves few units, but the
// load per server is not bounded. It is a baseline that Plan is compared with, and
// package ownership uses it with the names of failure domains to choose new homes.
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

// rendezvousScore returns the hash of the unit and the server's name.
func rendezvousScore(unit keyspace.Unit, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(unit))
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// EqualRanges returns the name of the backend server of the unit at the index among
// total units, when the units are split into ranges of equal length. It is a baseline that
// Plan is compared with: servers have equal numbers of units, but a change of the
// servers moves most units.
func EqualRanges(index, total int, servers []string) string {
	return servers[index*len(servers)/total]
}
