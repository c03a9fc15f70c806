package gate

import (
	"context"
	"sync"
	"time"

	"fireflyfield/internal/backend"
)

// pingTimeout is the time within which a backend server must answer to count as
// reachable.
const pingTimeout = 300 * time.Millisecond

// attemptSet holds the runs in flight at one backend server.
type attemptSet struct {
	mu       sync.Mutex
	attempts map[*inFlightAttempt]struct{}
}

func newAttemptSet() *attemptSet { return &attemptSet{attempts: make(map[*inFlightAttempt]struct{})} }

func (s *attemptSet) add(r *inFlightAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[r] = struct{}{}
}

func (s *attemptSet) remove(r *inFlightAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, r)
}

// movedFrom returns the runs whose key another backend server owns by now.
func (s *attemptSet) movedFrom(server ServerID, owners Owners) []*inFlightAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var moved []*inFlightAttempt
	for r := range s.attempts {
		owner, ok := owners.OwnerOf(server.Service, r.keyHash)
		if ok && owner.Server != server.Name {
			moved = append(moved, r)
		}
	}
	return moved
}

// CancelLost ends the requests that wait for a backend server which does not
// answer and no longer owns their keys. Their callers need not wait for the
// deadline: an idempotent request is sent to the new owner, another one has an
// unknown outcome. A backend server that answers finishes its requests.
func (s *Set) CancelLost(ctx context.Context) {
	var pings sync.WaitGroup
	for _, id := range s.IDs() {
		existing, ok := s.lookup(id)
		if !ok || len(existing.attempts.movedFrom(id, s.owners)) == 0 {
			continue
		}
		pings.Go(func() {
			if reachable(ctx, existing.client) {
				return
			}
			for _, r := range existing.attempts.movedFrom(id, s.owners) {
				r.cancel()
			}
		})
	}
	pings.Wait()
}

func reachable(ctx context.Context, client *backend.Client) bool {
	ctx, stop := context.WithTimeout(ctx, pingTimeout)
	defer stop()
	_, err := client.Load(ctx)
	return err == nil
}
