package peer

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestCancelledCallKeepsConnection guards against a call with an ended context that closes
// the connection. Other calls to the same VM use it, heartbeats among them.
func TestCancelledCallKeepsConnection(t *testing.T) {
	is := is.New(t)
	server := NewServer(Identity{Version: Version, VM: "b"}, "", zap.NewNop())
	entered, release := make(chan struct{}), make(chan struct{})
	Handle(server, 1, 1000, func(context.Context, Identity, int) (int, error) {
		close(entered)
		<-release
		return 7, nil
	})
	listener := httptest.NewServer(server)
	defer listener.Close()
	client := NewClient(Identity{Version: Version, VM: "a"}, "")
	defer client.Close()
	address := listener.Listener.Addr().String()
	answered := make(chan error, 1)
	var reply int
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		_, err := client.Call(ctx, address, 1, 1, &reply)
		answered <- err
	}()
	<-entered
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	_, err := client.Call(cancelled, address, 1, 2, new(int))
	is.True(err != nil)
	close(release)
	is.NoErr(<-answered)
	is.Equal(reply, 7)
}
