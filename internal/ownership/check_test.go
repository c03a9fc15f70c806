package ownership

import (
	"fmt"
	"time"

	"fireflyfield/internal/keyspace"
)

// ownerEvent is one entry of a recording: a backend server gets or loses a unit,
// or runs a request for it.
type ownerEvent struct {
	at     time.Duration
	kind   string // grant, revoke, lapse, run or gate-run
	unit   keyspace.Unit
	server string
	// until is the end of a run.
	until time.Duration
}

// checkOwners returns the first overlap of owners of a unit: a grant while another
// backend server has the unit, a run at one that has it not, or two runs at once
// at two backend servers. A gate-run is a run at a backend server that does not
// check grants, so nothing is known of grants.
func checkOwners(events []ownerEvent) error {
	owners := make(map[keyspace.Unit]string)
	running := make(map[keyspace.Unit]ownerEvent)
	for _, e := range events {
		owner := owners[e.unit]
		switch e.kind {
		case "grant":
			if owner != "" && owner != e.server {
				return fmt.Errorf("violation at %v: unit %d granted to %s while %s has it", e.at, e.unit, e.server, owner)
			}
			owners[e.unit] = e.server
		case "revoke", "lapse":
			if owner == e.server {
				delete(owners, e.unit)
			}
		case "run", "gate-run":
			if e.kind == "run" && owner != e.server {
				return fmt.Errorf("violation at %v: unit %d runs at %s while the owner is %q", e.at, e.unit, e.server, owner)
			}
			last := running[e.unit]
			if last.server != "" && last.server != e.server && e.at < last.until {
				return fmt.Errorf("violation at %v: unit %d runs at %s and %s", e.at, e.unit, e.server, last.server)
			}
			running[e.unit] = e
		}
	}
	return nil
}
