package caller

import "sync"

const (
	// maxBufferedBytes bounds the memory that one VM reserves for request bodies at
	// a time.
	maxBufferedBytes = 256 << 20
	// maxWorkspaceBufferedBytes bounds the part of one workspace, so that a workspace
	// whose callers send their bodies slowly leaves memory to the others.
	maxWorkspaceBufferedBytes = maxBufferedBytes / 4
)

// bodyMemory counts the bytes reserved for request bodies, in total and for each
// workspace. It is safe for concurrent use; no other lock is acquired while mu is
// held.
type bodyMemory struct {
	mu             sync.Mutex
	totalBytes     int64
	workspaceBytes map[string]int64
}

func newBodyMemory() *bodyMemory {
	return &bodyMemory{workspaceBytes: make(map[string]int64)}
}

// tryAcquire reserves the bytes for the workspace. It reserves nothing and returns
// false if that would exceed one of the limits.
func (m *bodyMemory) tryAcquire(workspace string, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.totalBytes+bytes > maxBufferedBytes || m.workspaceBytes[workspace]+bytes > maxWorkspaceBufferedBytes {
		return false
	}
	m.totalBytes += bytes
	m.workspaceBytes[workspace] += bytes
	return true
}

// release gives back bytes that tryAcquire reserved.
func (m *bodyMemory) release(workspace string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totalBytes -= bytes
	m.workspaceBytes[workspace] -= bytes
	if m.workspaceBytes[workspace] == 0 {
		delete(m.workspaceBytes, workspace)
	}
}
