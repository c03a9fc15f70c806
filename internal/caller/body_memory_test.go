package caller

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against one workspace whose callers send bodies slowly taking all memory
// for bodies, after which every other workspace would be refused.
func TestBodyMemoryIsSharedByWorkspaces(t *testing.T) {
	is := is.New(t)
	m := newBodyMemory()
	const size = 1 << 20
	held := 0
	for m.tryAcquire("slow", size) {
		held++
	}
	is.Equal(held, 64)
	is.True(m.tryAcquire("other", size))
	m.release("slow", size)
	is.True(m.tryAcquire("slow", size))
	m.release("other", size)
	is.Equal(len(m.byWorkspace), 1)
	for _, workspace := range []string{"b", "c", "d", "e"} {
		for m.tryAcquire(workspace, size) {
		}
	}
	is.Equal(m.total, int64(maxBufferedBytes)) // the VM's bound holds too
}
