// Package waittest lets tests wait for what other goroutines bring about.
package waittest

import (
	"testing"
	"time"
)

// pollPause is the time between looks.
const pollPause = 10 * time.Millisecond

// Until waits until a condition holds, and fails the test if that takes longer than
// the limit. It must run on the goroutine of the test.
func Until(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}
