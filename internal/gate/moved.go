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

// runSet holds the runs in flight at one backend server.
type runSet struct {
	mu   sync.Mutex
	runs map[*run]struct{}
}

func newRunSet() *runSet { return &runSet{runs: make(map[*run]struct{})} }

func (s *runSet) add(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r] = struct{}{}
}

func (s *runSet) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r)
}

// movedFrom returns the runs whose key another backend server owns by now.
func (s *runSet) movedFrom(server ServerID, owners Owners) []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var moved []*run
	for r := range s.runs {
		owner, ok := owners.OwnerOf(server.Service, r.keyHash)
		if ok && owner.Server != server.Name {
			moved = append(moved, r)
		}
	}
	return moved
}

// CancelOrphaned ends the requests that wait for a backend server which does not
// answer and no longer owns their keys. Their callers need not wait for the
// deadline: an idempotent request is sent to the new owner, another one has an
// unknown outcome. A backend server that answers finishes its requests.
func (s *Set) CancelOrphaned(ctx context.Context) {
	var pings sync.WaitGroup
	for _, id := range s.IDs() {
		existing, ok := s.lookup(id)
		if !ok || len(existing.runs.movedFrom(id, s.owners)) == 0 {
			continue
		}
		pings.Go(func() {
			if reachable(ctx, existing.client) {
				return
			}
			for _, r := range existing.runs.movedFrom(id, s.owners) {
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
