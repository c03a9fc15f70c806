package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/quarantine"
)

// endCheckDelay is the time from a broken connection to the check whether its backend server has
// ended. The other connections to it break meanwhile.
const endCheckDelay = 20 * time.Millisecond

// reasonQuarantined is the reason of the rejection of a request that crashes backend servers.
const reasonQuarantined = "quarantined"

// brokenByPeer reports whether an exchange failed because the peer closed the connection.
func brokenByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// newFingerprint returns the fingerprint of the request.
func (rs *requestState) newFingerprint() quarantine.Fingerprint {
	path, query, _ := strings.Cut(rs.request.Target, "?")
	workspace := ""
	if rs.workspace != nil {
		workspace = rs.workspace.Name
	}
	return quarantine.NewFingerprint(rs.request.Method, strings.ToLower(rs.request.Host), path, query, workspace, rs.request.Body)
}

// connectionBroke records that a request got no answer because its connection failed with err,
// and finds out in the background whether the backend server has ended.
func (f *Forwarder) connectionBroke(rs *requestState, b *backend, err error) {
	if !brokenByPeer(err) {
		return
	}
	rs.event.Fingerprint = rs.fingerprint
	if f.Quarantine.Broke(b.process, rs.event.Fingerprint, f.Clock.Now()) {
		go f.checkEnded(b)
	}
}

// checkEnded records the end of a backend server unless it still accepts connections.
func (f *Forwarder) checkEnded(b *backend) {
	time.Sleep(endCheckDelay)
	if b.pool.Accepts(context.Background()) {
		f.Quarantine.Lives(b.process)
		return
	}
	if crash := f.Quarantine.Ended(b.process, f.Clock.Now()); crash != nil {
		f.Servers.Log.Info("backend server ended with requests in flight", zap.String("backend", b.process.Backend),
			zap.Int64("started", b.process.Started), zap.Stringers("requests", crash.Requests))
	}
}

// quarantined returns how long the request must not be sent, or 0 if it may be.
func (f *Forwarder) quarantined(rs *requestState) time.Duration {
	if !f.Quarantine.Active() {
		return 0
	}
	return f.Quarantine.Blocked(rs.fingerprint, f.Clock.Now())
}

// rejectQuarantined rejects a request that crashes backend servers, or returns nil if it may be
// sent. The caller is told when the quarantine ends.
func (f *Forwarder) rejectQuarantined(rs *requestState) *Answer {
	remaining := f.quarantined(rs)
	if remaining == 0 {
		return nil
	}
	rs.event.Fingerprint = rs.fingerprint
	rs.event.Reason = reasonQuarantined
	if rs.outcomeUnknown || rs.lastResponse != nil {
		return f.giveUp(rs)
	}
	answer := f.reject(rs, http.StatusServiceUnavailable, reasonQuarantined)
	answer.Header.Set("Retry-After", formatSeconds(remaining))
	return answer
}

// suspected reports whether the request has probably ended backend servers.
func (f *Forwarder) suspected(rs *requestState) bool {
	return f.Quarantine.Active() && f.Quarantine.Suspected(rs.fingerprint, f.Clock.Now())
}

// observeResponse records that a process answered a request that was sent at sentAt. ran is set
// if it ran the request to its end.
func (f *Forwarder) observeResponse(rs *requestState, b *backend, sentAt time.Duration, ran bool) {
	if !f.Quarantine.Active() {
		return
	}
	now := f.Clock.Now()
	f.Quarantine.Responded(b.process, sentAt, now)
	if ran {
		f.Quarantine.Answered(rs.fingerprint, now)
	}
}
