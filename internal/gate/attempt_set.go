package gate

import (
	"context"
	"sync"
	"time"

	"fireflyfield/internal/backend"
)

// pingTimeout is the time within which a backend server must answer a load request to
// count as reachable.
const pingTimeout = 300 * time.Millisecond

// attemptSet holds the attempts of a keyed service in flight at one backend server. It
// is safe for concurrent use.
type attemptSet struct {
	mu       sync.Mutex
	attempts map[*inFlightAttempt]struct{}
}

func newAttemptSet() *attemptSet { return &attemptSet{attempts: make(map[*inFlightAttempt]struct{})} }

func (s *attemptSet) add(a *inFlightAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[a] = struct{}{}
}

func (s *attemptSet) remove(a *inFlightAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a)
}

// movedFrom returns the attempts whose key has another owner than the server by now.
func (s *attemptSet) movedFrom(server ServerID, owners Owners) []*inFlightAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var moved []*inFlightAttempt
	for a := range s.attempts {
		owner, ok := owners.OwnerOf(server.Service, a.keyHash)
		if ok && owner.Server != server.Name {
			moved = append(moved, a)
		}
	}
	return moved
}

// CancelMoved cancels the attempts whose backend server no longer owns their keys
// and does not answer. Their callers need not wait for the deadline: an idempotent
// request is sent to the new owner, and any other request has an unknown outcome.
// Attempts at a backend server that answers are left to finish.
func (s *Set) CancelMoved(ctx context.Context) {
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
			for _, a := range existing.attempts.movedFrom(id, s.owners) {
				a.cancel()
			}
		})
	}
	pings.Wait()
}

// reachable reports whether the backend server answers a load request.
func reachable(ctx context.Context, client *backend.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := client.Load(ctx)
	return err == nil
}
