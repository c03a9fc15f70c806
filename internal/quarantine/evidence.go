package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfield/internal/fleet"
)

const (
	// minCrashes is the number of backend servers that must have ended under a request before
	// it is quarantined. They must have ended at minEpisodes different times: servers that
	// end together, as in the loss of a failure domain, say nothing about the requests there.
	minCrashes  = 3
	minEpisodes = 2
	// episodeLength is the time within which ends of backend servers count as one episode.
	episodeLength = 150 * time.Millisecond
	// minSuspectCrashes is the number of crashes from which on a request is not retried.
	minSuspectCrashes = 2
	// maxAmbiguousCrashes is the number of crashes up to which requests that were in flight at
	// exactly the same ones are all let through: only one of them is the cause. Beyond it one
	// is quarantined. If the crashes go on without it, another one explains them all and the
	// first is released.
	maxAmbiguousCrashes = 5
)

// crashEvent is the end of one process with the requests that were in flight there, of all VMs.
type crashEvent struct {
	process  fleet.ProcessID
	at       time.Duration
	requests []Fingerprint
}

// hash returns one of the two parts of a fingerprint.
type hash func(Fingerprint) uint64

func exactHash(f Fingerprint) uint64 { return f.Exact }
func pathHash(f Fingerprint) uint64  { return f.Path }

// suspicion is what the crashes say about one request.
type suspicion struct {
	request  uint64
	crashes  int
	episodes int
	since    time.Duration // start of the last episode
	// crashSet identifies the set of crashes: requests with the same one cannot be told apart.
	crashSet uint64
}

// guilty reports whether the request is to be quarantined.
func (s *suspicion) guilty() bool { return s.crashes >= minCrashes && s.episodes >= minEpisodes }

// concerns reports whether a crash counts against a request that was last answered at the given
// time: a request that ran to its end since then does not crash backend servers.
func (e *crashEvent) concerns(answeredAt time.Duration) bool { return e.at > answeredAt }

// explain returns the requests that explain the crashes, by their hash: the one with the most
// crashes first, then the one with the most of the crashes that are left, and so on. A request
// that merely ran beside a crashing one is left with no crash of its own. Those with fewer than
// minSuspectCrashes are left out. It also returns the crashes that are not explained.
//
// It answers this load pattern: a crashing request is repeated at all VMs, and most crashes end
// requests of other callers too, among them frequent ones that are always the same.
func explain(events []*crashEvent, of hash, answeredAt map[uint64]time.Duration) (map[uint64]suspicion, []*crashEvent) {
	found := make(map[uint64]suspicion)
	for {
		ranked := rank(events, of, answeredAt)
		if len(ranked) == 0 || ranked[0].crashes < minSuspectCrashes {
			return found, events
		}
		best := ranked[0]
		ambiguous := len(ranked) > 1 && ranked[1].crashSet == best.crashSet && best.crashes < maxAmbiguousCrashes
		if !ambiguous {
			found[best.request] = best
		}
		events = slices.DeleteFunc(slices.Clone(events), func(e *crashEvent) bool {
			return e.concerns(answeredAt[best.request]) && slices.ContainsFunc(e.requests, func(f Fingerprint) bool { return of(f) == best.request })
		})
	}
}

// rank returns the suspicions against all requests, the strongest first. events are in order of
// their time.
func rank(events []*crashEvent, of hash, answeredAt map[uint64]time.Duration) []suspicion {
	byRequest := make(map[uint64]*suspicion)
	for i, e := range events {
		var counted []uint64
		for _, f := range e.requests {
			request := of(f)
			if slices.Contains(counted, request) || !e.concerns(answeredAt[request]) {
				continue
			}
			counted = append(counted, request)
			s := byRequest[request]
			if s == nil {
				s = &suspicion{request: request}
				byRequest[request] = s
			}
			s.add(i, e.at)
		}
	}
	ranked := make([]suspicion, 0, len(byRequest))
	for _, s := range byRequest {
		ranked = append(ranked, *s)
	}
	slices.SortFunc(ranked, func(a, b suspicion) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(b.episodes, a.episodes), cmp.Compare(a.crashSet, b.crashSet), cmp.Compare(a.request, b.request))
	})
	return ranked
}

// add counts the crash with the given index and time.
func (s *suspicion) add(index int, at time.Duration) {
	s.crashes++
	if s.episodes == 0 || at >= s.since+episodeLength {
		s.episodes++
		s.since = at
	}
	s.crashSet ^= xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(index)))
}
