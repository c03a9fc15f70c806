// Package waittest lets tests wait for a condition that other goroutines bring about, by
// polling it.
package waittest

import (
	"testing"
	"time"
)

// pollInterval is the time between two checks of the condition.
const pollInterval = 10 * time.Millisecond

// Until polls until condition returns true, and fails the test if that takes longer than
// limit; what describes the condition in the message. It must be called on the goroutine
// of the test, since it may call t.Fatalf.
func Until(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", limit, what)
		}
	}
}
