package ownership

import (
	"fmt"
	"time"

	"fireflyfield/internal/keyspace"
)

// ownerEvent records that a backend server got or lost a unit or started to run a
// request for it.
type ownerEvent struct {
	time   time.Duration
	kind   string // grant, revoke, expire, run or gate-run
	unit   keyspace.Unit
	server string
	// runEndsAt is the end of a run.
	runEndsAt time.Duration
}

// checkExclusiveOwnership returns an error for the first overlap of owners of a unit:
// a grant while another backend server owns the unit, a run at one that does not own
// it, or simultaneous runs at two backend servers. A gate-run is a run for which
// grants are not checked, such as one at a backend server that does not check them.
func checkExclusiveOwnership(events []ownerEvent) error {
	owners := make(map[keyspace.Unit]string)
	running := make(map[keyspace.Unit]ownerEvent)
	for _, e := range events {
		owner := owners[e.unit]
		switch e.kind {
		case "grant":
			if owner != "" && owner != e.server {
				return fmt.Errorf("violation at %v: unit %d granted to %s while %s owns it", e.time, e.unit, e.server, owner)
			}
			owners[e.unit] = e.server
		case "revoke", "expire":
			if owner == e.server {
				delete(owners, e.unit)
			}
		case "run", "gate-run":
			if e.kind == "run" && owner != e.server {
				return fmt.Errorf("violation at %v: unit %d runs at %s while the owner is %q", e.time, e.unit, e.server, owner)
			}
			last := running[e.unit]
			if last.server != "" && last.server != e.server && e.time < last.runEndsAt {
				return fmt.Errorf("violation at %v: unit %d runs at %s and %s at the same time", e.time, e.unit, e.server, last.server)
			}
			running[e.unit] = e
		}
	}
	return nil
}
