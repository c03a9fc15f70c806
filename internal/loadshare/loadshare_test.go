package loadshare

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/freeport"
)

// Reports that one VM sends must reach the other.
func TestExchange(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Ports of this range are free of the UDP sockets of other tests too.
	port, err := freeport.Adjacent(2)
	is.NoErr(err)
	senderAddress, receiverAddress := fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
	received := make(chan []Report, 10)
	receiver := &Exchange{Peers: func() []netip.AddrPort { return nil }, Collect: func(int) []Report { return nil }, Apply: func(r []Report) { received <- r }, Log: zap.NewNop()}
	is.NoErr(receiver.Start(ctx, receiverAddress))
	sender := &Exchange{
		Peers:   func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort(receiverAddress)} },
		Collect: func(int) []Report { return []Report{{Backend: "b", InFlight: 3, Slowness: 250, AgeMs: 4}} },
		Apply:   func([]Report) {}, Log: zap.NewNop(),
	}
	is.NoErr(sender.Start(ctx, senderAddress))
	select {
	case r := <-received:
		is.Equal(r, []Report{{Backend: "b", InFlight: 3, Slowness: 250, AgeMs: 4}})
	case <-time.After(5 * time.Second):
		t.Fatal("no report arrived within 5 s")
	}
}
