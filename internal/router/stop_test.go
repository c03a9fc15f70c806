package router

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/sharedlog"
)

// TestStopTimes guards against a VM that ends requests or exits long before the end of a short
// grace period, when their backend servers would have answered in time: in the first five sixths
// no request may be broken off. It also guards against a period that is over before it begins.
func TestStopTimes(t *testing.T) {
	is := is.New(t)
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, 30 * time.Second} {
		s := stopTimesOf(grace)
		t.Logf("%s: %+v", grace, s)
		is.True(s.end >= grace*5/6)
		is.True(s.reject >= 0 && s.reject <= s.end)
		is.True(s.exit >= s.end && s.exit <= grace)
		is.True(grace == 0 || s.end < s.exit && s.exit < grace)
	}
	is.Equal(stopTimesOf(6*time.Second), stopTimes{reject: drainDelay, end: 5600 * time.Millisecond, exit: 5700 * time.Millisecond})
}

// silentLog is a shared log that answers no append.
type silentLog struct{ sharedlog.Log }

func (silentLog) Append(ctx context.Context, _ string, _ []sharedlog.Record, _ sharedlog.Position) (sharedlog.Position, error) {
	<-ctx.Done()
	return sharedlog.Position{}, ctx.Err()
}

// TestStopBesideSilentLog guards against a VM that outlives a short grace period, and is killed,
// since it waits for the shared log.
func TestStopBesideSilentLog(t *testing.T) {
	is := is.New(t)
	const grace = 600 * time.Millisecond
	r, err := New(Options{VM: "vm", Log: silentLog{}, Logger: zap.NewNop(), Grace: grace})
	is.NoErr(err)
	var listeners [2]net.Listener
	for i := range listeners {
		listeners[i], err = net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
	}
	started := time.Now()
	r.stop(listeners[0], listeners[1])
	is.True(time.Since(started) < grace+100*time.Millisecond) // some time for the scheduler
}
