// Package loadshare exchanges load reports of backend servers between the VMs of a
// failure domain. A VM of a large fleet sends to each backend server too seldom to
// know its load; together the VMs of a failure domain know it within about 100 ms.
package loadshare

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/logfield"
)

const (
	// interval is the time between messages. Busy neighbours of backend servers come
	// and go within some 400 ms.
	interval = 80 * time.Millisecond
	// maxReports bounds the reports of one message, so that it fits into a datagram.
	maxReports = 40
	// maxDatagram bounds a received message.
	maxDatagram = 8 << 10
)

// Report is the load of one backend server.
type Report struct {
	Backend string `cbor:"1,keyasint"`
	// Busy is the number of requests that run or wait there.
	Busy int `cbor:"2,keyasint"`
	// Slowness is how long work takes relative to usual, in percent.
	Slowness int `cbor:"3,keyasint"`
	// AgeMs is the age of the report in ms.
	AgeMs int64 `cbor:"4,keyasint"`
}

// Exchange sends and receives reports. Datagrams that are lost are not sent again.
type Exchange struct {
	// Peers returns the UDP addresses of the other VMs of the failure domain.
	Peers func() []netip.AddrPort
	// Collect returns the reports that are new since the last call, at most max.
	Collect func(max int) []Report
	// Apply takes reports of another VM.
	Apply func([]Report)
	Log   *zap.Logger
}

// Run exchanges reports at a local address until ctx ends.
func (e *Exchange) Run(ctx context.Context, address string) error {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return errors.Wrap(err, "load reports")
	}
	socket, err := net.ListenUDP("udp4", local)
	if err != nil {
		return errors.Wrap(err, "load reports")
	}
	context.AfterFunc(ctx, func() { socket.Close() }) //nolint:errcheck // the VM stops
	go e.receive(socket)
	go e.send(ctx, socket)
	return nil
}

func (e *Exchange) receive(socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was refused by its receiver
		}
		var reports []Report
		if err := cbor.Unmarshal(buffer[:n], &reports); err != nil {
			e.Log.Debug("load reports cannot be read", logfield.Error(err))
			continue
		}
		e.Apply(reports)
	}
}

func (e *Exchange) send(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		peers := e.Peers()
		if len(peers) == 0 {
			continue
		}
		reports := e.Collect(maxReports)
		if len(reports) == 0 {
			continue
		}
		content, err := cbor.Marshal(reports)
		if err != nil {
			e.Log.Error("load reports cannot be encoded", logfield.Error(err))
			continue
		}
		for _, peer := range peers {
			// A peer that is gone leaves the list with its next missing report.
			_, _ = socket.WriteToUDPAddrPort(content, peer)
		}
	}
}
