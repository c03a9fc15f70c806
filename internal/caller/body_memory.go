package caller

import "sync"

const (
	// maxBufferedBytes bounds the request bodies that one VM holds at a time.
	maxBufferedBytes = 256 << 20
	// maxWorkspaceBytes bounds those of one workspace, so that a workspace whose
	// callers send their bodies slowly leaves memory for the others.
	maxWorkspaceBytes = maxBufferedBytes / 4
)

// bodyMemory counts the bytes reserved for request bodies. It is safe for
// concurrent use; its lock is a leaf.
type bodyMemory struct {
	mu          sync.Mutex
	total       int64
	byWorkspace map[string]int64
}

func newBodyMemory() *bodyMemory {
	return &bodyMemory{byWorkspace: make(map[string]int64)}
}

// tryAcquire reserves bytes for the workspace or returns false.
func (m *bodyMemory) tryAcquire(workspace string, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.total+bytes > maxBufferedBytes || m.byWorkspace[workspace]+bytes > maxWorkspaceBytes {
		return false
	}
	m.total += bytes
	m.byWorkspace[workspace] += bytes
	return true
}

// release returns bytes that were reserved.
func (m *bodyMemory) release(workspace string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total -= bytes
	m.byWorkspace[workspace] -= bytes
	if m.byWorkspace[workspace] == 0 {
		delete(m.byWorkspace, workspace)
	}
}
