// Package keyspace maps keys to units of ownership, which are slices of a service's
// hashed key space and single hot keys, and finds the hot keys. It leaves the assignment
// of units to backend servers to its callers.
package keyspace

import "github.com/cespare/xxhash/v2"

// hotBit marks the units of hot keys.
const hotBit = uint64(1) << 63

// Unit identifies a slice or a hot key within one service. A slice is its number;
// a hot key is 2^63 plus the lower 63 bits of its hash.
type Unit uint64

// Hash is the lower 63 bits of the hash of a service and key. Slices and hot key units
// are derived from the same 63 bits, so that two keys with the same hot key unit are
// always in the same slice, whatever the number of slices.
type Hash uint64

// HashKey returns the hash of the key within the service.
func HashKey(service, key string) Hash {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return Hash(digest.Sum64() &^ hotBit)
}

// Slice returns the slice of the hash in a service with that number of slices, which
// must be positive.
func (h Hash) Slice(slices int) Unit {
	return Unit(uint64(h) % uint64(slices))
}

// HotUnit returns the unit of a key with this hash while it is a hot key.
func (h Hash) HotUnit() Unit {
	return Unit(uint64(h) | hotBit)
}

// Slice returns the slice of the key in a service with that number of slices.
func Slice(service, key string, slices int) Unit {
	return HashKey(service, key).Slice(slices)
}

// IsHot reports whether the unit is a hot key.
func (u Unit) IsHot() bool {
	return uint64(u)&hotBit != 0
}

// Parent returns the slice that contains the unit; a slice is its own parent.
func (u Unit) Parent(slices int) Unit {
	if !u.IsHot() {
		return u
	}
	return Hash(uint64(u) &^ hotBit).Slice(slices)
}
