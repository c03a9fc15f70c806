package loadshare

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestExchange guards against reports that do not reach the other VM.
func TestExchange(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, second := "127.0.0.1:39271", "127.0.0.1:39272"
	got := make(chan []Report, 10)
	receiver := &Exchange{Peers: func() []netip.AddrPort { return nil }, Collect: func(int) []Report { return nil }, Apply: func(r []Report) { got <- r }, Log: zap.NewNop()}
	is.NoErr(receiver.Run(ctx, second))
	sender := &Exchange{
		Peers:   func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort(second)} },
		Collect: func(int) []Report { return []Report{{Backend: "b", Busy: 3, Slowness: 250, AgeMs: 4}} },
		Apply:   func([]Report) {}, Log: zap.NewNop(),
	}
	is.NoErr(sender.Run(ctx, first))
	select {
	case r := <-got:
		is.Equal(r, []Report{{Backend: "b", Busy: 3, Slowness: 250, AgeMs: 4}})
	case <-time.After(5 * time.Second):
		t.Fatal("no report arrived")
	}
}
