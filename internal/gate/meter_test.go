package gate

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/keyspace"
)

// Guards against rates that are wrong by the factor of the decay, so that keys become
// hot too early or too late, and against rates that remain after the demand ended.
func TestMeterRates(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMeter(2*time.Second, now)
	hot := keyspace.HashKey("s", "hot")
	for range 20 {
		for range 100 {
			m.Observe("s", hot, 8)
		}
		now = now.Add(time.Second)
		m.Loads(now, 10)
	}
	load := m.Loads(now, 10)[0]
	is.Equal(load.Service, "s")
	is.Equal(load.Keys[0].Unit, hot.HotUnit())
	// All requests of a second are counted at its beginning and decay for one second,
	// half of the half-life, until the load is read.
	is.True(math.Abs(load.Keys[0].Rate-100) < 20)
	is.True(math.Abs(load.Slices[hot.Slice(8)]-100) < 20)
	load = m.Loads(now.Add(time.Minute), 10)[0]
	is.Equal(len(load.Slices), 0)
	is.Equal(len(load.Keys), 0)
}
