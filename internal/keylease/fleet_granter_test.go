package keylease

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// maxTransit is the time of a call from its send to its arrival that holdMargin allows.
const maxTransit = holdMargin - RangeLeaseDuration/50

// fleetSession is a VM's connection to a backend server process, on which one grant at a time is
// sent, as by platform.Granter.
type fleetSession struct {
	started  int64 // of the process; 0 before the first grant is sent
	busy     bool
	closed   bool
	answered bool // the connection has carried an answer
	fences   map[int64]bool
}

// fleetGranter sends the calls of a VM to the simulated backend servers.
type fleetGranter struct{ vm *fleetVM }

// Grant implements Granter.
func (g fleetGranter) Grant(_ context.Context, target Target, grant Grant) error {
	f, call := g.vm.f, Call{Kind: CallGrant, Target: target, Grant: grant}
	giveUpAt := f.now + grantTimeout
	if grant.Confirm {
		_, err := g.send(call, nil, giveUpAt)
		return err
	}
	s := g.vm.sessions[target]
	if grant.Renewal && (s == nil || !s.fences[grant.Fence]) {
		return ErrSessionLost
	}
	if s == nil {
		s = &fleetSession{fences: make(map[int64]bool)}
		g.vm.sessions[target] = s
	}
	for s.busy {
		if f.now >= giveUpAt {
			return ErrNotSent
		}
		f.sleep(modelStep)
	}
	if s.closed {
		return ErrSessionLost
	}
	s.busy = true
	_, err := g.send(call, s, giveUpAt)
	s.busy = false
	if err != nil {
		s.closed = true
		if g.vm.sessions[target] == s {
			delete(g.vm.sessions, target)
		}
		if errors.Is(err, ErrFenced) && s.answered {
			return errUnanswered // the refusal may be that of an earlier call
		}
		return err
	}
	s.answered, s.fences[grant.Fence] = true, true
	return nil
}

// Release implements Granter.
func (g fleetGranter) Release(_ context.Context, target Target, grant Grant) (string, error) {
	return g.send(Call{Kind: CallRelease, Target: target, Grant: grant}, nil, g.vm.f.now+releaseTimeout)
}

// send sends a call to the process at the target's address, or to that of the session, and waits
// for its answer.
func (g fleetGranter) send(call Call, s *fleetSession, giveUpAt time.Duration) (string, error) {
	f := g.vm.f
	f.sleep(g.vm.sendDelay())
	to := f.serverAt(call.Target.Address)
	p := f.newCall(g.vm, call, to)
	switch {
	case s != nil && s.started != 0:
		p.toStarted = s.started
	case to == nil:
		f.sleep(f.upTo(grantTimeout))
		return "", ErrNotSent
	case s != nil:
		s.started = to.started
	}
	if call.Grant.SendBy > 0 && f.now > call.Grant.SendBy {
		return "", ErrNotSent
	}
	if f.now < g.vm.refusedUntil[to] { // the server resets connections and takes none
		if s != nil && s.answered {
			return "", ErrSessionLost
		}
		return "", ErrNotSent
	}
	if g.vm.cannotReach(to) { // nothing arrives, since closing the connection discards unsent bytes
		f.sleep(giveUpAt - f.now)
		if s != nil && s.answered || f.random.IntN(2) == 0 {
			return "", errUnanswered
		}
		return "", ErrNotSent
	}
	f.calls = append(f.calls, p)
	for f.now < giveUpAt && (!p.applied || f.now < p.answeredAt || p.lost) {
		f.sleep(modelStep)
	}
	if !p.applied || f.now < p.answeredAt || p.lost {
		return "", errUnanswered
	}
	return "", p.err
}

// newCall returns a call that is sent now. Its answer may be lost, and it may take effect seconds
// later.
func (f *fleet) newCall(v *fleetVM, call Call, to *modelServer) *pendingCall {
	arrivesAt := f.now + v.transit()
	p := &pendingCall{call: call, to: to, arrivesAt: arrivesAt, appliesAt: arrivesAt, answeredAt: arrivesAt + modelStep}
	if to != nil {
		p.toStarted = to.started
	}
	lost := 0.05
	if call.Kind == CallGrant && (f.now < f.slowUntil[to] || f.now < v.slowUntil[to]) {
		lost = 0.9
	}
	if f.quiet || f.random.Float64() >= lost {
		return p
	}
	p.lost = f.random.IntN(4) > 0 // otherwise the answer comes, if the call takes effect in time
	switch f.random.IntN(4) {
	case 0, 1:
		p.appliesAt += f.upTo(RangeLeaseDuration)
	case 2:
		p.appliesAt += RangeLeaseDuration - f.upTo(500*time.Millisecond)
	}
	p.answeredAt = max(p.answeredAt, p.appliesAt)
	return p
}
