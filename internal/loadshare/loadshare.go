// Package loadshare exchanges load reports of backend servers between the VMs of a
// failure domain, and leaves their use to package forward. In a large fleet, each VM
// sends to each backend server too rarely to know its load; together, the VMs of a
// failure domain know it within about 100 ms.
package loadshare

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/datagram"
	"fireflyfield/internal/logfield"
)

const (
	// minSendInterval is the time between messages to a few peers. Noisy neighbours of
	// backend servers appear and disappear within about 400 ms, so maxSendInterval is less
	// than that.
	minSendInterval = 80 * time.Millisecond
	maxSendInterval = 350 * time.Millisecond
	// maxSendsPerSecond bounds the datagrams that a VM sends. In a failure domain of 50 VMs
	// one to each peer every 80 ms takes a large part of a small VM's processor, on both
	// sides.
	maxSendsPerSecond = 140
	// maxReports bounds the reports of one message, so that it fits into one datagram.
	maxReports = 40
	// maxDatagramBytes bounds a received message.
	maxDatagramBytes = 8 << 10
	// maxInFlight, maxSlowness (in percent) and maxAge bound the values of a report.
	maxInFlight = 1 << 20
	maxSlowness = 1 << 20
	maxAge      = time.Hour
)

// Report is the load report of one backend server.
type Report struct {
	Backend string `cbor:"1,keyasint"`
	// InFlight is the number of requests that run or wait there.
	InFlight int `cbor:"2,keyasint"`
	// Slowness is how long work takes in percent of the usual time.
	Slowness int `cbor:"3,keyasint"`
	// AgeMs is the age of the report in milliseconds.
	AgeMs int64 `cbor:"4,keyasint"`
	// Key 5 was a limit that the backend server names.
}

// Exchange sends and receives load reports over UDP. Lost datagrams are not sent again.
type Exchange struct {
	// Peers returns the UDP addresses of the other VMs of the failure domain.
	Peers func() []netip.AddrPort
	// Collect returns the reports that are new since the last call, at most max.
	Collect func(max int) []Report
	// Apply processes reports of another VM.
	Apply func([]Report)
	Log   *zap.Logger
}

// Start starts to exchange reports at the local address, HOST:PORT, and returns. The
// exchange stops when ctx ends.
func (e *Exchange) Start(ctx context.Context, address string) error {
	socket, err := datagram.Listen(ctx, address, maxDatagramBytes, e.receive)
	if err != nil {
		return errors.Wrap(err, "listen for load reports")
	}
	go e.send(ctx, socket)
	return nil
}

// receive applies the reports of one message.
func (e *Exchange) receive(_ *net.UDPConn, content []byte, _ netip.AddrPort) {
	reports, err := decode(content)
	if err != nil {
		e.Log.Debug("load reports cannot be decoded", logfield.Error(err))
		return
	}
	e.Apply(reports)
}

// decode returns the reports of a message, without those whose values are out of range: an age
// below 0, for one, would make a report newer than all later ones.
func decode(content []byte) ([]Report, error) {
	var reports []Report
	if err := cbor.Unmarshal(content, &reports); err != nil {
		return nil, errors.Wrap(err, "decode load reports")
	}
	return slices.DeleteFunc(reports, func(r Report) bool { return !r.valid() }), nil
}

// valid reports whether all values are in range.
func (r *Report) valid() bool {
	return r.InFlight >= 0 && r.InFlight <= maxInFlight && r.Slowness > 0 && r.Slowness <= maxSlowness &&
		r.AgeMs >= 0 && r.AgeMs <= maxAge.Milliseconds()
}

// sendInterval returns the time between two messages to each of the given number of peers.
func sendInterval(peers int) time.Duration {
	return min(maxSendInterval, max(minSendInterval, time.Duration(peers)*time.Second/maxSendsPerSecond))
}

// send sends new reports to all peers at intervals until ctx ends.
func (e *Exchange) send(ctx context.Context, socket *net.UDPConn) {
	timer := time.NewTimer(minSendInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		peers := e.Peers()
		timer.Reset(sendInterval(len(peers)))
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
			// Errors are ignored: a VM that publishes no more reports is removed from the
			// list of members, and so from the peers.
			_, _ = socket.WriteToUDPAddrPort(content, peer)
		}
	}
}
