package linelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fireflyfield/internal/clock"
)

// TestLimitPerKindAndSummary guards against a flood of lines of one kind that
// suppresses other kinds, and against suppressed lines that no summary counts.
func TestLimitPerKindAndSummary(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	core, lines := observer.New(zap.InfoLevel)
	l := New(zap.New(core), fake.Now, 3, "left out")
	allowed := 0
	for range 10 {
		if l.Allow("flood") {
			allowed++
		}
	}
	is.Equal(allowed, 3)
	is.True(l.Allow("rare"))
	fake.Time += time.Second
	is.True(l.Allow("flood"))
	summaries := lines.FilterMessage("left out").All()
	is.Equal(len(summaries), 1)
	is.Equal(summaries[0].ContextMap()["flood"], int64(7))
}
