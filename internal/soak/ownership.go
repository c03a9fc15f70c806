package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/keyrange"
	"fireflyfield/platform/platformtest"
)

const (
	// The time between two faults of keyed backend servers is minKeyedGap plus a random part of
	// keyedGapRange.
	minKeyedGap   = 500 * time.Millisecond
	keyedGapRange = 1500 * time.Millisecond
	// A backend server that leaves serves for minLeaveTime plus a random part of leaveTimeRange
	// after its entry says so, and is replaced then.
	minLeaveTime   = 2500 * time.Millisecond
	leaveTimeRange = 4 * time.Second
	// maxEntryDelay bounds the time from a restart under the same ID to the new entry.
	maxEntryDelay = 3 * time.Second
	// maxSlowTime bounds how long requests run at a slow backend server, for slowDuration.
	maxSlowTime  = 2500 * time.Millisecond
	slowDuration = 2 * time.Second
)

// tokenTable has the highest fencing token of each part of the key space and the process that
// got it.
type tokenTable [keyrange.Parts]struct {
	fence   int64
	process string
}

// add notes a grant, and returns a key whose token is not above that of another process, with
// that process; empty if there is none.
func (t *tokenTable) add(g platformtest.AcceptedGrant) (key int, process string) {
	for part := g.First / keyrange.PartSize; part <= g.Last/keyrange.PartSize; part++ {
		last := &t[part]
		if last.process != "" && last.process != g.Process && g.Fence <= last.fence {
			key, process = part*keyrange.PartSize, last.process
		}
		if g.Fence >= last.fence {
			last.fence, last.process = g.Fence, g.Process
		}
	}
	return key, process
}

// checkGrant checks that no other backend server works on the keys of a grant, and that the
// tokens are new for another process. Backend servers call it when they accept a grant.
func (s *Soak) checkGrant(b *backend, g platformtest.AcceptedGrant) {
	for _, other := range s.backends {
		if other == b || other.service != b.service || !other.isAlive() {
			continue
		}
		if key, works := other.currentBackend().WorksOn(g.First, g.Last); works {
			s.mu.Lock()
			s.addViolation("%s gets key %d with token %d while %s still works on it", g.Process, key, g.Fence, other.currentBackend().ID)
			s.mu.Unlock()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key, process := s.tokens.add(g); process != "" {
		s.addViolation("%s gets key %d with token %d, which is not above that of %s", g.Process, key, g.Fence, process)
	}
}

// injectKeyedFaults makes keyed backend servers leave by their entry, restart under the same ID,
// or run requests slowly, until ctx ends. It has a random source of its own, so that the other
// faults of a seed stay the same.
func (s *Soak) injectKeyedFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 80))
	var keyed []*backend
	for _, b := range s.backends {
		if b.service == "keyed" {
			keyed = append(keyed, b)
		}
	}
	for number := 0; clock.Sleep(ctx, minKeyedGap+time.Duration(random.Int64N(int64(keyedGapRange)))); number++ {
		b := keyed[random.IntN(len(keyed))]
		kind, duration := random.IntN(3), random.Float64()
		oldAgain := random.IntN(2) == 0
		if !b.isAlive() {
			continue
		}
		server := b.currentBackend()
		switch kind {
		case 0:
			serves := minLeaveTime + time.Duration(duration*float64(leaveTimeRange))
			s.recordEvent("%s leaves, serves for %s", server.ID, serves.Round(time.Millisecond))
			b.leave()
			time.AfterFunc(serves, func() {
				if b.crashIf(server) && ctx.Err() == nil {
					s.startBackend(b, fmt.Sprintf("%s-after-drain%d", b.service, number))
				}
			})
		case 1:
			entryAfter := time.Duration(duration * float64(maxEntryDelay))
			s.recordEvent("%s restarts under its ID, new entry after %s, old one again: %t", server.ID, entryAfter.Round(time.Millisecond), oldAgain)
			b.restartProcess(entryAfter, oldAgain)
		case 2:
			workTime := time.Duration(duration * float64(maxSlowTime))
			s.recordEvent("%s runs requests for %s", server.ID, workTime.Round(time.Millisecond))
			server.SetWorkTime(workTime)
			time.AfterFunc(slowDuration, func() { server.SetWorkTime(defaultWorkTime) })
		}
	}
}
