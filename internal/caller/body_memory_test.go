package caller

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a workspace that reserves all memory for bodies, because its callers
// send them slowly, so that the requests of every other workspace are rejected.
func TestBodyMemoryLimitPerWorkspace(t *testing.T) {
	is := is.New(t)
	m := newBodyMemory()
	const size = 1 << 20
	acquired := 0
	for m.tryAcquire("slow", size) {
		acquired++
	}
	is.Equal(acquired, 64)
	is.True(m.tryAcquire("other", size))
	m.release("slow", size)
	is.True(m.tryAcquire("slow", size))
	m.release("other", size)
	is.Equal(len(m.workspaceBytes), 1)
	for _, workspace := range []string{"b", "c", "d", "e"} {
		for m.tryAcquire(workspace, size) {
		}
	}
	is.Equal(m.totalBytes, int64(maxBufferedBytes)) // the limit of the VM applies too
}
