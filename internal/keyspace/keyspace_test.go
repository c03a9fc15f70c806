package keyspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against two keys with the same hot key unit but different slices: one of them
// would have two owners. If the slice were derived from all 64 bits of the hash, this
// would happen for numbers of slices that are not powers of two.
func TestHotUnitDeterminesSlice(t *testing.T) {
	is := is.New(t)
	for _, slices := range []int{1, 7, 256, 1000, 65536} {
		for i := range 1000 {
			hash := HashKey("entretien", fmt.Sprint(i))
			is.Equal(hash.HotUnit().Parent(slices), hash.Slice(slices))
			is.True(hash.HotUnit().IsHot())
			is.True(!hash.Slice(slices).IsHot())
		}
	}
}

// Guards against pairs of service and key that have the same hash because they have the
// same concatenation.
func TestServiceAndKeyAreSeparated(t *testing.T) {
	is := is.New(t)
	is.True(HashKey("ab", "c") != HashKey("a", "bc"))
}

// Guards against a set of hot keys that grows without bound.
func TestHotKeySetIsBounded(t *testing.T) {
	is := is.New(t)
	var set HotKeySet
	for i := range MaxHotKeys {
		is.True(set.Add(Hash(i).HotUnit()))
	}
	is.True(!set.Add(Hash(MaxHotKeys).HotUnit()))
	is.True(!set.Add(Unit(3)))
	is.Equal(set.Resolve(Hash(5), 4), Hash(5).HotUnit())
	set.Remove(Hash(5).HotUnit())
	is.Equal(set.Resolve(Hash(5), 4), Unit(1))
}

// Guards against missing a hot key among many rare keys, and against reporting a key
// that is no longer hot.
func TestDetectorFindsCurrentHotKeys(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	detector := NewDetector(256, time.Second)
	observe := func(hot int) {
		for range 20_000 {
			key := fmt.Sprint("cold", random.IntN(100_000))
			if random.IntN(10) == 0 {
				key = fmt.Sprint("hot", hot)
			}
			detector.Observe(HashKey("s", key), 1)
		}
	}
	observe(1)
	is.Equal(detector.Top(1, 1000)[0].Unit, HashKey("s", "hot1").HotUnit())
	detector.Decay(10 * time.Second)
	is.Equal(len(detector.Top(10, 1000)), 0)
	observe(2)
	is.Equal(detector.Top(1, 1000)[0].Unit, HashKey("s", "hot2").HotUnit())
	is.Equal(len(detector.index), 256)
}
