package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/keylease"
)

// TestKeysLeaveLimitedOwner guards against the keys of a backend server in need that stay with
// it, so that their callers are rejected while the other servers have room.
func TestKeysLeaveLimitedOwner(t *testing.T) {
	is := is.New(t)
	servers := func() []keylease.Server {
		var list []keylease.Server
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			list = append(list, keylease.Server{ID: id, Started: 1, Usable: id != "e", Capacity: 4})
		}
		return list
	}
	view := &directory.View{Backends: map[string]directory.Backend{"a": {Backend: fleet.Backend{ID: "a", Started: 1}}}}
	limits := make(ownerLimits)
	limits.observe(map[string]float64{"a": 5, "unlisted": 1}, view, time.Minute)
	is.Equal(len(limits), 1)

	list := servers()
	limits.reduceCapacities(list, 100) // 25 requests/s for each of the four usable servers
	share := list[0].Capacity / (list[0].Capacity + 12)
	is.True(share*100 <= 5)
	is.True(share*100 >= 3)
	is.Equal(list[1].Capacity, 4.0)

	list = servers()
	limits.reduceCapacities(list, 10) // 2.5 requests/s each, within the limit
	is.Equal(list[0].Capacity, 4.0)

	all := make(ownerLimits)
	for _, server := range servers() {
		all[fleet.ProcessID{Backend: server.ID, Started: 1}] = ownerLimit{rate: 1}
	}
	list = servers()
	all.reduceCapacities(list, 100) // no other server could take the keys
	is.Equal(list[0].Capacity, 4.0)

	limits.dropStale(time.Minute + limitRetention + 1)
	is.Equal(len(limits), 0)
}
